package org.mimosacleat.proxy.command;

/** The exit codes of the binary. */
final class ExitCode {
  static final int DONE = 0;
  static final int FAILED = 1;
  static final int WRONG_INPUT = 2;

  private ExitCode() {}
}

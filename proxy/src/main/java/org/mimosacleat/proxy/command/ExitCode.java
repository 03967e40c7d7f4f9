package org.mimosacleat.proxy.command;

/** The exit codes of the {@code mimosacleat} command. */
final class ExitCode {
  static final int SUCCESS = 0;
  static final int FAILURE = 1;
  static final int INVALID_INPUT = 2;

  private ExitCode() {}
}

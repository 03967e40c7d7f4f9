package org.mimosacleat.control;

/** Terminates a command with an error message and an exit code. */
final class CommandException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final ExitCode exitCode;

  CommandException(ExitCode exitCode, String message) {
    super(message);
    this.exitCode = exitCode;
  }

  ExitCode exitCode() {
    return exitCode;
  }
}

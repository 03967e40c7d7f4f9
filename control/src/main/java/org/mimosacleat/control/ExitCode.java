package org.mimosacleat.control;

/** The exit codes of mimosacleatctl. */
public enum ExitCode {
  /** The command succeeded. */
  DONE(0),
  /** An internal error of the program. */
  INTERNAL(1),
  /** The command line is invalid, or a file that it names cannot be read. */
  USAGE(2),
  /** A list or a settings file is invalid; nothing was changed. */
  INVALID(3),
  /** Another edit of the same base version was accepted first; nothing was changed. */
  CONFLICT(4),
  /** The platform or a proxy could not be reached; nothing was changed. */
  UNAVAILABLE(5),
  /** The platform did not confirm whether it accepted an edit; check the history. */
  IN_DOUBT(6),
  /** The requested version does not exist. */
  NOT_FOUND(7);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  /** Returns the exit status of the process. */
  public int code() {
    return code;
  }
}

package org.mimosacleat.control;

/** The exit codes of mimosacleatctl. */
public enum ExitCode {
  /** Done. */
  DONE(0),
  /** A defect of the program. */
  INTERNAL(1),
  /** The command line is wrong. */
  USAGE(2),
  /** A list or a settings file does not pass the checks; nothing was changed. */
  INVALID(3),
  /** Another edit of the same base came first; nothing was changed. */
  LOST_RACE(4),
  /** The platform or a proxy could not be reached; nothing was changed. */
  UNAVAILABLE(5),
  /** The platform did not say whether it took an edit; see the history. */
  IN_DOUBT(6),
  /** There is no such version. */
  NOT_FOUND(7);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  /** Returns the code for the shell. */
  public int code() {
    return code;
  }
}

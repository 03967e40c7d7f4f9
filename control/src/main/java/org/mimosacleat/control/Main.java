package org.mimosacleat.control;

/** Starts mimosacleatctl. */
public final class Main {
  private Main() {}

  /** Runs one command and ends with its exit code, see {@link ExitCode}. */
  public static void main(String[] arguments) {
    System.exit(ControlCommand.commandLine().execute(arguments));
  }
}

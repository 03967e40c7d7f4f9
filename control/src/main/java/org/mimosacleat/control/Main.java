package org.mimosacleat.control;

/** The entry point of mimosacleatctl. */
public final class Main {
  private Main() {}

  /** Runs one command and exits with its {@link ExitCode}. */
  public static void main(String[] arguments) {
    System.exit(ControlCommand.commandLine().execute(arguments));
  }
}

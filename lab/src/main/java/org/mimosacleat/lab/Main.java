package org.mimosacleat.lab;

import org.mimosacleat.lab.command.LabCommand;
import picocli.CommandLine;

/** The entry point of the demonstration and the measurements. */
public final class Main {
  private Main() {}

  /** Runs the command line and exits with its code. */
  public static void main(String[] arguments) {
    System.exit(new CommandLine(new LabCommand()).execute(arguments));
  }
}

package org.mimosacleat.proxy;

import org.mimosacleat.proxy.command.ProxyCommand;
import picocli.CommandLine;

/** The entry point of the binary {@code mimosacleat}. */
public final class Main {
  private Main() {}

  /** Runs the command line and exits with its code. */
  public static void main(String[] arguments) {
    System.exit(new CommandLine(new ProxyCommand()).execute(arguments));
  }
}

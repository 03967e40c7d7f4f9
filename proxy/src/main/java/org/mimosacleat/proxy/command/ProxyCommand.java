package org.mimosacleat.proxy.command;

import picocli.AutoComplete;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The command {@code mimosacleat}, which only works through its subcommands. */
@Command(
    name = "mimosacleat",
    description = "A database proxy with session consistency.",
    mixinStandardHelpOptions = true,
    version = "mimosacleat 0.1.0",
    subcommands = {
      RunCommand.class,
      CheckCommand.class,
      PrintDefaultsCommand.class,
      AutoComplete.GenerateCompletion.class
    },
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = {
      "0:success, or a graceful stop that interrupted no work in flight",
      "1:the proxy could not start, or a stop interrupted work in flight",
      "2:the command line or the settings are invalid"
    })
public final class ProxyCommand implements Runnable {
  @Spec private CommandSpec specification;

  /** Reports a usage error, because a subcommand is required. */
  @Override
  public void run() {
    throw new ParameterException(
        specification.commandLine(), "a subcommand is missing: run, check or print-defaults");
  }
}

package org.mimosacleat.proxy.command;

import picocli.AutoComplete;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The command {@code mimosacleat}; its work is in the subcommands. */
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
      "0:done, or stopped without cutting off work",
      "1:the proxy could not start, or a stop cut off work in flight",
      "2:the command line or the settings are wrong"
    })
public final class ProxyCommand implements Runnable {
  @Spec private CommandSpec specification;

  /** Refuses to run without a subcommand. */
  @Override
  public void run() {
    throw new ParameterException(
        specification.commandLine(), "a subcommand is missing: run, check or print-defaults");
  }
}

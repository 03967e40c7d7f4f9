package org.mimosacleat.control;

import org.mimosacleat.core.lists.ListKind;
import picocli.AutoComplete.GenerateCompletion;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The top-level command. */
@Command(
    name = "mimosacleatctl",
    mixinStandardHelpOptions = true,
    version = "mimosacleatctl 0.1.0",
    description =
        "Operates a fleet of mimosacleat proxies through the lists of plans and allowances.",
    subcommands = {
      StatusCommand.class,
      CheckCommand.class,
      PrintDefaultsCommand.class,
      GenerateCompletion.class
    })
final class ControlCommand {
  private ControlCommand() {}

  /** Creates the command line with all subcommands. */
  static CommandLine commandLine() {
    CommandLine command = new CommandLine(new ControlCommand());
    for (ListKind kind : ListKind.values()) {
      command.addSubcommand(kind.toString(), new ListCommand(kind));
    }
    return command
        .setCaseInsensitiveEnumValuesAllowed(true)
        .setExecutionExceptionHandler(ControlCommand::handleException);
  }

  private static int handleException(
      Exception exception, CommandLine command, CommandLine.ParseResult parsed) {
    if (exception instanceof CommandException expected) {
      command.getErr().println(expected.getMessage());
      return expected.exitCode().code();
    }
    command.getErr().println("internal error of mimosacleatctl: " + exception);
    return ExitCode.INTERNAL.code();
  }
}

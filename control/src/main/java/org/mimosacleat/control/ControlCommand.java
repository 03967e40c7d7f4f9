package org.mimosacleat.control;

import org.mimosacleat.core.lists.ListKind;
import picocli.AutoComplete.GenerateCompletion;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The command line as a whole. */
@Command(
    name = "mimosacleatctl",
    mixinStandardHelpOptions = true,
    version = "mimosacleatctl 0.1.0",
    description = "Drives a fleet of mimosacleat proxies by the operators' two lists.",
    subcommands = {
      StatusCommand.class,
      CheckCommand.class,
      PrintDefaultsCommand.class,
      GenerateCompletion.class
    })
final class ControlCommand {
  private ControlCommand() {}

  /** Returns the command line, ready to execute. */
  static CommandLine commandLine() {
    CommandLine command = new CommandLine(new ControlCommand());
    for (ListKind kind : ListKind.values()) {
      command.addSubcommand(kind.toString(), new ListCommand(kind));
    }
    return command
        .setCaseInsensitiveEnumValuesAllowed(true)
        .setExecutionExceptionHandler(ControlCommand::report);
  }

  private static int report(
      Exception exception, CommandLine command, CommandLine.ParseResult parsed) {
    if (exception instanceof CommandException expected) {
      command.getErr().println(expected.getMessage());
      return expected.exitCode().code();
    }
    command.getErr().println("defect of mimosacleatctl: " + exception);
    return ExitCode.INTERNAL.code();
  }
}

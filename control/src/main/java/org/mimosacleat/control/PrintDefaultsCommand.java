package org.mimosacleat.control;

import java.util.concurrent.Callable;
import org.mimosacleat.core.settings.SettingsPrinter;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Prints a settings file with every key, its default and its allowed values. */
@Command(
    name = "print-defaults",
    description = "Prints a settings file with every key, its default and its allowed values.",
    mixinStandardHelpOptions = true)
final class PrintDefaultsCommand implements Callable<Integer> {
  @Spec private CommandSpec spec;

  @Override
  public Integer call() {
    spec.commandLine().getOut().print(SettingsPrinter.print(ControlSettings.SCHEMA));
    spec.commandLine().getOut().flush();
    return ExitCode.DONE.code();
  }
}

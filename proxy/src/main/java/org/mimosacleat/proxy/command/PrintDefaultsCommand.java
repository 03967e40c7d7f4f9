package org.mimosacleat.proxy.command;

import org.mimosacleat.core.settings.SettingsPrinter;
import org.mimosacleat.proxy.settings.ProxySchema;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** The subcommand {@code print-defaults}: prints every key with its default and allowed values. */
@Command(
    name = "print-defaults",
    description = "Prints every settings key with its default and allowed values.")
final class PrintDefaultsCommand implements Runnable {
  @Spec private CommandSpec specification;

  @Override
  public void run() {
    specification.commandLine().getOut().print(SettingsPrinter.print(ProxySchema.SCHEMA));
    specification.commandLine().getOut().flush();
  }
}

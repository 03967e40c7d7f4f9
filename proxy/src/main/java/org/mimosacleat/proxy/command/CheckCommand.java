package org.mimosacleat.proxy.command;

import io.vavr.control.Either;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import org.mimosacleat.proxy.settings.ProxySettings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The subcommand {@code check}: validates a settings file and lists every problem. */
@Command(name = "check", description = "Checks a settings file and lists every problem.")
final class CheckCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FILE", description = "The settings file.")
  private Path file;

  @Spec private CommandSpec specification;

  @Override
  public Integer call() {
    Either<List<String>, ProxySettings> settings = SettingsFile.load(file);
    if (settings.isLeft()) {
      PrintWriter errors = specification.commandLine().getErr();
      settings.getLeft().forEach(errors::println);
      return ExitCode.INVALID_INPUT;
    }
    specification.commandLine().getOut().println(file + ": no problems");
    return ExitCode.SUCCESS;
  }
}

package org.mimosacleat.control;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Checks a settings file of mimosacleatctl. */
@Command(
    name = "check",
    description = "Checks a settings file of mimosacleatctl.",
    mixinStandardHelpOptions = true)
final class CheckCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FILE", description = "The settings file.")
  private Path file;

  @Spec private CommandSpec spec;

  @Override
  public Integer call() {
    ControlSettings.parse(TextFile.read(file))
        .getOrElseThrow(problems -> ValidationErrors.toException(file.toString(), problems));
    spec.commandLine().getOut().println(file + " is valid");
    return ExitCode.DONE.code();
  }
}

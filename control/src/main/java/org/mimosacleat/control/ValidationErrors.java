package org.mimosacleat.control;

import java.util.List;
import java.util.stream.Collectors;
import org.mimosacleat.core.settings.SettingsProblem;

/** Formats the problems found in a list or a settings file. */
final class ValidationErrors {
  private ValidationErrors() {}

  static CommandException toException(String name, List<SettingsProblem> problems) {
    String lines =
        problems.stream()
            .map(problem -> "  " + problem.message())
            .collect(Collectors.joining(System.lineSeparator()));
    String heading = name + " has " + problems.size() + " problem(s); nothing was changed:";
    return new CommandException(ExitCode.INVALID, heading + System.lineSeparator() + lines);
  }
}

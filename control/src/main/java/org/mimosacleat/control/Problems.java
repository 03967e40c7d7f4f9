package org.mimosacleat.control;

import java.util.List;
import java.util.stream.Collectors;
import org.mimosacleat.core.settings.SettingsProblem;

/** Writes the problems of a text for an operator. */
final class Problems {
  private Problems() {}

  static CommandException invalid(String name, List<SettingsProblem> problems) {
    String lines =
        problems.stream()
            .map(problem -> "  " + problem.message())
            .collect(Collectors.joining(System.lineSeparator()));
    String heading = name + " has " + problems.size() + " problem(s); nothing was changed:";
    return new CommandException(ExitCode.INVALID, heading + System.lineSeparator() + lines);
  }
}

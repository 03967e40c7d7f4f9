package org.mimosacleat.control;

import java.nio.file.Path;
import picocli.CommandLine.Option;

/** The option that names the settings file. */
final class SettingsOption {
  @Option(
      names = "--settings",
      defaultValue = "mimosacleatctl.ini",
      description = "The settings file (default: ${DEFAULT-VALUE}).")
  private Path file;

  ControlSettings read() {
    return ControlSettings.parse(TextFile.read(file))
        .getOrElseThrow(problems -> ValidationErrors.toException(file.toString(), problems));
  }
}

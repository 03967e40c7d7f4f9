package org.mimosacleat.proxy.command;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.mimosacleat.core.settings.SettingsProblem;
import org.mimosacleat.proxy.settings.ProxySettings;
import org.mimosacleat.proxy.settings.ProxySettingsReader;

/** Loads and validates a settings file. */
final class SettingsFile {
  private SettingsFile() {}

  /** Returns the settings, or one line per problem on the left. */
  static Either<List<String>, ProxySettings> load(Path file) {
    String text;
    try {
      text = Files.readString(file);
    } catch (IOException unreadable) {
      return Either.left(List.of(file + ": cannot be read: " + unreadable.getMessage()));
    }
    return ProxySettingsReader.read(text)
        .mapLeft(
            problems ->
                problems.stream()
                    .map(SettingsProblem::message)
                    .map(message -> file + ": " + message)
                    .toList());
  }
}

package org.mimosacleat.core.settings;

import io.vavr.control.Either;
import java.util.List;

/**
 * Reads INI text and validates it against a schema. All problems are reported together, each with
 * its line, section, key, value and what is allowed.
 */
public final class SettingsReader {
  private final SettingsSchema schema;

  /** Creates a reader for texts of this schema. */
  public SettingsReader(SettingsSchema schema) {
    this.schema = schema;
  }

  /** Returns the settings in {@code text}, or all problems as the left value. */
  public Either<List<SettingsProblem>, Settings> read(String text) {
    IniDocument document = IniReader.parse(text);
    SettingsValidator validator = new SettingsValidator(schema, document.problems());
    document.sections().forEach(validator::validate);
    return validator.finish();
  }
}

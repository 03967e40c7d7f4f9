package org.mimosacleat.core.settings;

import io.vavr.control.Either;
import java.util.List;

/**
 * Reads INI text against a schema. It lists every problem at once, each with its line, section,
 * key, value and what is allowed.
 */
public final class SettingsReader {
  private final SettingsSchema schema;

  /** Reads texts of this schema. */
  public SettingsReader(SettingsSchema schema) {
    this.schema = schema;
  }

  /** Returns the settings of {@code text}, or on the left all its problems. */
  public Either<List<SettingsProblem>, Settings> read(String text) {
    IniDocument document = IniText.parse(text);
    SettingsValidator validator = new SettingsValidator(schema, document.problems());
    document.sections().forEach(validator::validate);
    return validator.finish();
  }
}

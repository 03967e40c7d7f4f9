package org.mimosacleat.core.settings;

import java.util.Map;
import org.mimosacleat.core.check.Checks;

/**
 * The validated values of one section, including defaults.
 *
 * @param kind the first word of the header
 * @param name the rest of the header; empty for a single section
 * @param line the line number of the header, or 0 if the text does not contain the section
 * @param texts the unparsed value of each key
 */
public record SettingsSection(String kind, String name, int line, Map<String, String> texts) {
  /** Copies the map. */
  public SettingsSection {
    Checks.notNull("section kind", kind);
    Checks.notNull("section name", name);
    texts = Map.copyOf(texts);
  }

  /**
   * Returns the value of a setting.
   *
   * @throws IllegalArgumentException if the section's schema does not have the setting
   */
  public <T> T get(Setting<T> setting) {
    String text = texts.get(setting.key());
    if (text == null) {
      throw new IllegalArgumentException("[" + kind + "] has no setting '" + setting.key() + "'");
    }
    return setting
        .type()
        .parse(text)
        .getOrElseThrow(allowed -> new IllegalArgumentException(setting.key() + ": " + allowed));
  }
}

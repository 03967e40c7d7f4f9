package org.mimosacleat.core.settings;

import org.mimosacleat.core.check.Checks;

/**
 * One {@code key = value} line of an INI document.
 *
 * @param key the key as written
 * @param value the value as written, without blanks around it
 * @param line the line of the text, from 1
 */
public record IniEntry(String key, String value, int line) {
  /** Validates the components. */
  public IniEntry {
    Checks.notNull("key", key);
    Checks.notNull("value", value);
    Checks.positive("line", line);
  }
}

package org.mimosacleat.core.settings;

import org.mimosacleat.core.check.Checks;

/**
 * One {@code key = value} line of an INI document.
 *
 * @param key the key as written
 * @param value the value as written, without surrounding whitespace
 * @param line the line number, starting at 1
 */
public record IniEntry(String key, String value, int line) {
  /** Validates the components. */
  public IniEntry {
    Checks.notNull("key", key);
    Checks.notNull("value", value);
    Checks.positive("line", line);
  }
}

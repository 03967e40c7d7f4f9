package org.mimosacleat.core.settings;

import org.mimosacleat.core.check.Checks;

/**
 * A problem in a settings text.
 *
 * @param line the line number, starting at 1, or 0 if a required key is missing because its section
 *     is absent
 * @param section the section's header, or empty
 * @param key the key, or empty
 * @param value the value as written, or empty; never a secret
 * @param allowed what is allowed instead
 */
public record SettingsProblem(int line, String section, String key, String value, String allowed) {
  /** Validates the components. */
  public SettingsProblem {
    Checks.notNegative("line", line);
    Checks.notNull("section", section);
    Checks.notNull("key", key);
    Checks.notNull("value", value);
    Checks.notNull("allowed", allowed);
  }

  /** Returns the problem as a one-line message for an operator. */
  public String message() {
    StringBuilder message = new StringBuilder();
    if (line > 0) {
      message.append("line ").append(line).append(": ");
    }
    if (!section.isEmpty()) {
      message.append('[').append(section).append("] ");
    }
    if (!key.isEmpty()) {
      message.append(key).append(" = ");
    }
    message.append('\'').append(value).append("': expected ").append(allowed);
    return message.toString();
  }
}

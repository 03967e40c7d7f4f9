package org.mimosacleat.core.settings;

import org.mimosacleat.core.check.Checks;

/**
 * One thing that is wrong with a settings text.
 *
 * @param line the line of the text from 1, or 0 when the fault is something missing
 * @param section the section's header, or empty
 * @param key the key, or empty
 * @param value the value as written, or empty; never a secret
 * @param allowed what is allowed in its place
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

  /** Returns the problem as one line for an operator. */
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
    message.append('\'').append(value).append("': allowed is ").append(allowed);
    return message.toString();
  }
}

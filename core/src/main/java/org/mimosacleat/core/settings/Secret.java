package org.mimosacleat.core.settings;

import org.mimosacleat.core.check.Checks;

/**
 * A password or key. {@link #toString()} hides the value to keep it out of logs.
 *
 * @param value the secret text
 */
public record Secret(String value) {
  /** Validates the value. */
  public Secret {
    Checks.notNull("secret", value);
  }

  @Override
  public String toString() {
    return "(hidden)";
  }
}

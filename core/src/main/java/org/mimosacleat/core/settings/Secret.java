package org.mimosacleat.core.settings;

import org.mimosacleat.core.check.Checks;

/**
 * A password or key that must not reach logs: {@link #toString()} hides it.
 *
 * @param value the secret text
 */
public record Secret(String value) {
  /** Checks that there is a text. */
  public Secret {
    Checks.notNull("secret", value);
  }

  @Override
  public String toString() {
    return "(hidden)";
  }
}

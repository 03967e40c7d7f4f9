package org.mimosacleat.serving.fleet;

import org.mimosacleat.core.check.Checks;

/**
 * The name under which clients ask for a database.
 *
 * @param value the name, not blank
 */
public record DatabaseName(String value) {
  /** Checks the name. */
  public DatabaseName {
    Checks.name("database name", value);
  }

  @Override
  public String toString() {
    return value;
  }
}

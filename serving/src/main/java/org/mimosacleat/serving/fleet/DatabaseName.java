package org.mimosacleat.serving.fleet;

import org.mimosacleat.core.check.Checks;

/**
 * The name by which clients request a database.
 *
 * @param value the name, not blank
 */
public record DatabaseName(String value) {
  /** Checks that the name is valid. */
  public DatabaseName {
    Checks.name("database name", value);
  }

  @Override
  public String toString() {
    return value;
  }

  /** Written out, because the generated method is linked at run time, which delays the start. */
  @Override
  public boolean equals(Object other) {
    return other instanceof DatabaseName that && value.equals(that.value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }
}

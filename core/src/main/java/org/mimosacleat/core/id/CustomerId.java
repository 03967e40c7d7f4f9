package org.mimosacleat.core.id;

import org.mimosacleat.core.check.Checks;

/**
 * Identifies a customer of the operator, as written in the plans.
 *
 * @param value the name, not blank, at most {@value Checks#MAXIMUM_NAME_LENGTH} characters
 */
public record CustomerId(String value) implements Comparable<CustomerId> {
  /** Validates the name. */
  public CustomerId {
    Checks.name("customer id", value);
  }

  @Override
  public int compareTo(CustomerId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}

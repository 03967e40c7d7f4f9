package org.mimosacleat.core.id;

import org.mimosacleat.core.check.Checks;

/**
 * Identifies a plan by its name.
 *
 * @param value the name, not blank, at most {@value Checks#MAXIMUM_NAME_LENGTH} characters
 */
public record PlanName(String value) implements Comparable<PlanName> {
  /** Validates the name. */
  public PlanName {
    Checks.name("plan name", value);
  }

  @Override
  public int compareTo(PlanName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}

package org.mimosacleat.core.id;

import org.mimosacleat.core.check.Checks;

/**
 * Names one plan of the list of plans.
 *
 * @param value the name, not blank, at most {@value Checks#MAXIMUM_NAME_LENGTH} characters
 */
public record PlanName(String value) implements Comparable<PlanName> {
  /** Checks the name. */
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

package org.mimosacleat.core.id;

import org.mimosacleat.core.check.Checks;

/**
 * Identifies a team: a customer of the operator, as named in the plans or the configuration.
 *
 * @param value the name, not blank, at most {@value Checks#MAXIMUM_NAME_LENGTH} characters
 */
public record TeamId(String value) implements Comparable<TeamId> {
  /** Validates the name. */
  public TeamId {
    Checks.name("team id", value);
  }

  @Override
  public int compareTo(TeamId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}

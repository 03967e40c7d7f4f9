package org.mimosacleat.core.id;

import org.mimosacleat.core.check.Checks;

/**
 * Identifies a region, which is a set of availability zones.
 *
 * @param value the name, not blank, at most {@value Checks#MAXIMUM_NAME_LENGTH} characters
 */
public record Region(String value) implements Comparable<Region> {
  /** Validates the name. */
  public Region {
    Checks.name("region", value);
  }

  @Override
  public int compareTo(Region other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}

package org.mimosacleat.core.id;

import org.mimosacleat.core.check.Checks;

/**
 * Identifies an availability zone of a region.
 *
 * @param value the name, not blank, at most {@value Checks#MAXIMUM_NAME_LENGTH} characters
 */
public record AvailabilityZone(String value) implements Comparable<AvailabilityZone> {
  /** Validates the name. */
  public AvailabilityZone {
    Checks.name("availability zone", value);
  }

  @Override
  public int compareTo(AvailabilityZone other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }

  /** Written out, because the generated method is linked at run time, which delays the start. */
  @Override
  public boolean equals(Object other) {
    return other instanceof AvailabilityZone that && value.equals(that.value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }
}

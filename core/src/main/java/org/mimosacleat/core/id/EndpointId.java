package org.mimosacleat.core.id;

import org.mimosacleat.core.check.Checks;

/**
 * Identifies a database instance of a group.
 *
 * @param value the name, not blank, at most {@value Checks#MAXIMUM_NAME_LENGTH} characters
 */
public record EndpointId(String value) implements Comparable<EndpointId> {
  /** Validates the name. */
  public EndpointId {
    Checks.name("endpoint id", value);
  }

  @Override
  public int compareTo(EndpointId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }

  /** Written out, because the generated method is linked at run time, which delays the start. */
  @Override
  public boolean equals(Object other) {
    return other instanceof EndpointId that && value.equals(that.value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }
}

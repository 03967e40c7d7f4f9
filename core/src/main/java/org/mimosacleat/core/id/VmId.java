package org.mimosacleat.core.id;

import org.mimosacleat.core.check.Checks;

/**
 * Names one entry VM of this fleet.
 *
 * @param value the name, not blank, at most {@value Checks#MAXIMUM_NAME_LENGTH} characters
 */
public record VmId(String value) implements Comparable<VmId> {
  /** Checks the name. */
  public VmId {
    Checks.name("vm id", value);
  }

  @Override
  public int compareTo(VmId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}

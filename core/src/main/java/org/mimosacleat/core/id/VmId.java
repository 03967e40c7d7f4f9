package org.mimosacleat.core.id;

import org.mimosacleat.core.check.Checks;

/**
 * Identifies a VM of the fleet that runs a proxy.
 *
 * @param value the name, not blank, at most {@value Checks#MAXIMUM_NAME_LENGTH} characters
 */
public record VmId(String value) implements Comparable<VmId> {
  /** Validates the name. */
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

  /** Written out, because the generated method is linked at run time, which delays the start. */
  @Override
  public boolean equals(Object other) {
    return other instanceof VmId that && value.equals(that.value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }
}

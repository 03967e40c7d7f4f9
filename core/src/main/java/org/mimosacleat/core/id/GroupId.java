package org.mimosacleat.core.id;

import org.mimosacleat.core.check.Checks;

/**
 * Identifies a database group: a primary and its replicas.
 *
 * @param value the name, not blank, at most {@value Checks#MAXIMUM_NAME_LENGTH} characters
 */
public record GroupId(String value) implements Comparable<GroupId> {
  /** Validates the name. */
  public GroupId {
    Checks.name("group id", value);
  }

  @Override
  public int compareTo(GroupId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }

  /** Written out, because the generated method is linked at run time, which delays the start. */
  @Override
  public boolean equals(Object other) {
    return other instanceof GroupId that && value.equals(that.value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }
}

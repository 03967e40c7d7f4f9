package org.mimosacleat.core.lists;

import org.mimosacleat.core.check.Checks;

/**
 * The version number of a list; each accepted edit increments it by one.
 *
 * @param number zero for the empty list before the first edit
 */
public record ListVersion(long number) implements Comparable<ListVersion> {
  /** The empty list before the first edit. */
  public static final ListVersion NONE = new ListVersion(0);

  /** Validates the number. */
  public ListVersion {
    Checks.notNegative("list version", number);
  }

  /** Returns the version that the next accepted edit creates. */
  public ListVersion next() {
    return new ListVersion(number + 1);
  }

  /** Returns whether this version is later than {@code other}. */
  public boolean isAfter(ListVersion other) {
    return number > other.number;
  }

  @Override
  public int compareTo(ListVersion other) {
    return Long.compare(number, other.number);
  }

  @Override
  public String toString() {
    return Long.toString(number);
  }
}

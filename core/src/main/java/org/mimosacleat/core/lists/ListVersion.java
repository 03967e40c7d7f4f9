package org.mimosacleat.core.lists;

import org.mimosacleat.core.check.Checks;

/**
 * Numbers the versions of one list; each accepted edit makes the next one.
 *
 * @param number zero for the empty list before the first edit
 */
public record ListVersion(long number) implements Comparable<ListVersion> {
  /** The empty list before the first edit. */
  public static final ListVersion NONE = new ListVersion(0);

  /** Checks the number. */
  public ListVersion {
    Checks.notNegative("list version", number);
  }

  /** Returns the version that an accepted edit of this one makes. */
  public ListVersion next() {
    return new ListVersion(number + 1);
  }

  /** Tells whether this version is later than {@code other}. */
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

package org.mimosacleat.serving.version;

import org.mimosacleat.core.check.Checks;

/**
 * The period between two returns of the shared store from an older copy. Versions are unique only
 * within an era.
 *
 * @param number zero or more; a higher number is a later era
 */
public record StoreEra(long number) implements Comparable<StoreEra> {
  /** The era of stores that don't say which one it is, and of records without an era. */
  public static final StoreEra UNKNOWN = new StoreEra(0);

  /** Checks that the number is not negative. */
  public StoreEra {
    Checks.notNegative("era of the store", number);
  }

  /** Returns whether this era is later than {@code other}. */
  public boolean isAfter(StoreEra other) {
    return number > other.number;
  }

  @Override
  public int compareTo(StoreEra other) {
    return Long.compare(number, other.number);
  }

  @Override
  public String toString() {
    return Long.toString(number);
  }
}

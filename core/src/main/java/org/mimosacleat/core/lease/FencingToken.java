package org.mimosacleat.core.lease;

import org.mimosacleat.core.check.Checks;

/**
 * A number that orders the holders of a lease. An endpoint that accepted a token refuses lower
 * ones.
 *
 * @param number zero or more; a higher number is a later holder
 */
public record FencingToken(long number) implements Comparable<FencingToken> {
  /** Lower than the token of any holder. */
  public static final FencingToken NONE = new FencingToken(0);

  /** Checks that the number is not negative. */
  public FencingToken {
    Checks.notNegative("fencing token", number);
  }

  /** Returns the token {@code steps} after this one. */
  public FencingToken plus(long steps) {
    return new FencingToken(number + steps);
  }

  /** Returns whether this token is later than {@code other}. */
  public boolean isAfter(FencingToken other) {
    return number > other.number;
  }

  @Override
  public int compareTo(FencingToken other) {
    return Long.compare(number, other.number);
  }

  @Override
  public String toString() {
    return Long.toString(number);
  }
}

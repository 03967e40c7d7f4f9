package org.mimosacleat.core.admission;

/**
 * The limit of one team over all proxies.
 *
 * @param ratePerSecond operations per second, above zero
 * @param burst operations that the team may send at once after a pause, zero or more
 */
public record TeamLimit(double ratePerSecond, double burst) {
  /** Units are operations per this many seconds, so that whole units express small rates. */
  public static final long UNIT_SECONDS = 1_000;

  /** Checks that the numbers are finite and in range. */
  public TeamLimit {
    if (!Double.isFinite(ratePerSecond) || ratePerSecond <= 0) {
      throw new IllegalArgumentException(
          "rate per second must be more than 0, but was " + ratePerSecond);
    }
    if (!Double.isFinite(burst) || burst < 0) {
      throw new IllegalArgumentException("burst must be at least 0, but was " + burst);
    }
  }

  /** Returns the rate in units: operations per {@value #UNIT_SECONDS} seconds, rounded down. */
  public long units() {
    return (long) (ratePerSecond * UNIT_SECONDS);
  }

  /** Returns the part of the burst that belongs to a share of the rate, given in units. */
  public double burstOf(long shareUnits) {
    return burst * shareUnits / (ratePerSecond * UNIT_SECONDS);
  }
}

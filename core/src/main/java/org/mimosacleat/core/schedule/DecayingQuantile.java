package org.mimosacleat.core.schedule;

/**
 * Estimates one quantile of a stream of durations in constant memory, with decaying weight of old
 * values. Each value moves the logarithm of the estimate up or down. The two step sizes are
 * weighted by the quantile, so the estimate converges to the point with that proportion of values
 * below it.
 */
final class DecayingQuantile {
  private static final double MIN_STEP = 0.05;

  private final double quantile;
  private double logEstimate;
  private long count;

  DecayingQuantile(double quantile) {
    this.quantile = quantile;
  }

  void add(long nanoseconds) {
    double value = Math.log(Math.max(1, nanoseconds));
    count++;
    if (count == 1) {
      logEstimate = value;
      return;
    }
    double step = Math.max(MIN_STEP, 1.0 / count);
    logEstimate += value > logEstimate ? step * quantile : -step * (1 - quantile);
  }

  /** Raises the estimate to a value that a run in progress has already passed. */
  void raiseTo(long nanoseconds) {
    count = Math.max(1, count);
    logEstimate = Math.max(logEstimate, Math.log(Math.max(1, nanoseconds)));
  }

  long count() {
    return count;
  }

  long nanoseconds() {
    return (long) Math.exp(logEstimate);
  }
}

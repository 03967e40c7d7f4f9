package org.mimosacleat.core.schedule;

/**
 * Follows one quantile of a stream of durations in constant memory, and forgets old values. Each
 * value moves the logarithm of the estimate by a step, up or down by the odds of the quantile, so
 * it settles where the share of values below it is the quantile.
 */
final class DecayingQuantile {
  private static final double MINIMUM_STEP = 0.05;

  private final double quantile;
  private double logarithm;
  private long count;

  DecayingQuantile(double quantile) {
    this.quantile = quantile;
  }

  void add(long nanoseconds) {
    double value = Math.log(Math.max(1, nanoseconds));
    count++;
    if (count == 1) {
      logarithm = value;
      return;
    }
    double step = Math.max(MINIMUM_STEP, 1.0 / count);
    logarithm += value > logarithm ? step * quantile : -step * (1 - quantile);
  }

  /** Raises the estimate to a value that a run in progress has already passed. */
  void raiseTo(long nanoseconds) {
    count = Math.max(1, count);
    logarithm = Math.max(logarithm, Math.log(Math.max(1, nanoseconds)));
  }

  long count() {
    return count;
  }

  long nanoseconds() {
    return (long) Math.exp(logarithm);
  }
}

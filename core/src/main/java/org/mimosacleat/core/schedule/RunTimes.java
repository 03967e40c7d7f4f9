package org.mimosacleat.core.schedule;

/** The run times of one kind of statement: a decaying mean and a decaying quantile. */
final class RunTimes {
  private static final double MIN_MEAN_WEIGHT = 0.1;

  private final DecayingQuantile highQuantile;
  private double meanNanoseconds;
  private long runs;

  RunTimes(double quantile) {
    this.highQuantile = new DecayingQuantile(quantile);
  }

  void add(long nanoseconds) {
    runs++;
    highQuantile.add(nanoseconds);
    double weight = Math.max(MIN_MEAN_WEIGHT, 1.0 / runs);
    meanNanoseconds += weight * (nanoseconds - meanNanoseconds);
  }

  void raiseTo(long nanoseconds) {
    highQuantile.raiseTo(nanoseconds);
    meanNanoseconds = Math.max(meanNanoseconds, nanoseconds);
  }

  long meanNanoseconds() {
    return (long) meanNanoseconds;
  }

  long highNanoseconds() {
    return highQuantile.nanoseconds();
  }
}

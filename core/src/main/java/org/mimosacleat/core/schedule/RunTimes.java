package org.mimosacleat.core.schedule;

/** The run times of one kind of statement: a decaying mean and a decaying quantile. */
final class RunTimes {
  private static final double MEAN_DECAY = 0.1;

  private final DecayingQuantile high;
  private double meanNanoseconds;
  private long finished;

  RunTimes(double quantile) {
    this.high = new DecayingQuantile(quantile);
  }

  void add(long nanoseconds) {
    finished++;
    high.add(nanoseconds);
    double weight = Math.max(MEAN_DECAY, 1.0 / finished);
    meanNanoseconds += weight * (nanoseconds - meanNanoseconds);
  }

  void raiseTo(long nanoseconds) {
    high.raiseTo(nanoseconds);
    meanNanoseconds = Math.max(meanNanoseconds, nanoseconds);
  }

  long meanNanoseconds() {
    return (long) meanNanoseconds;
  }

  long highNanoseconds() {
    return high.nanoseconds();
  }
}

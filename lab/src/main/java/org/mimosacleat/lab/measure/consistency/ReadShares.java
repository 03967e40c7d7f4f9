package org.mimosacleat.lab.measure.consistency;

/** Counts the reads of one kind that replicas serve, for the router and for its baselines. */
final class ReadShares {
  private long reads;
  private long routed;
  private long routedStale;
  private long randomFresh;
  private long anyFresh;
  private long anyFreshAfterWait;
  private double waitedSeconds;

  void recordRead(boolean randomIsFresh, boolean anyIsFresh, boolean anyIsFreshAfterWait) {
    reads++;
    randomFresh += randomIsFresh ? 1 : 0;
    anyFresh += anyIsFresh ? 1 : 0;
    anyFreshAfterWait += anyIsFreshAfterWait ? 1 : 0;
  }

  void recordServed(boolean byReplica, boolean stale, double waited) {
    routed += byReplica ? 1 : 0;
    routedStale += stale ? 1 : 0;
    waitedSeconds += waited;
  }

  double routedPercent() {
    return percent(routed);
  }

  double randomPercent() {
    return percent(randomFresh);
  }

  double boundPercent() {
    return percent(anyFresh);
  }

  double boundWithWaitPercent() {
    return percent(anyFreshAfterWait);
  }

  long routedStale() {
    return routedStale;
  }

  long randomStale() {
    return reads - randomFresh;
  }

  double meanWaitMilliseconds() {
    return waitedSeconds / Math.max(1, reads) * 1e3;
  }

  private double percent(long count) {
    return 100.0 * count / Math.max(1, reads);
  }
}

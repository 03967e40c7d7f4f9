package org.mimosacleat.lab.measure.consistency;

/** Counts of the reads of one kind, for the router and what it is compared with. */
final class ReadShares {
  private long reads;
  private long routed;
  private long routedStale;
  private long random;
  private long bound;
  private long boundWithWait;
  private double waitedSeconds;

  void arrived(boolean randomIsFresh, boolean anyIsFresh, boolean anyIsFreshAfterWait) {
    reads++;
    random += randomIsFresh ? 1 : 0;
    bound += anyIsFresh ? 1 : 0;
    boundWithWait += anyIsFreshAfterWait ? 1 : 0;
  }

  void served(boolean byReplica, boolean stale, double waited) {
    routed += byReplica ? 1 : 0;
    routedStale += stale ? 1 : 0;
    waitedSeconds += waited;
  }

  double routedPercent() {
    return percent(routed);
  }

  double randomPercent() {
    return percent(random);
  }

  double boundPercent() {
    return percent(bound);
  }

  double boundWithWaitPercent() {
    return percent(boundWithWait);
  }

  long routedStale() {
    return routedStale;
  }

  long randomStale() {
    return reads - random;
  }

  double meanWaitMilliseconds() {
    return waitedSeconds / Math.max(1, reads) * 1e3;
  }

  private double percent(long count) {
    return 100.0 * count / Math.max(1, reads);
  }
}

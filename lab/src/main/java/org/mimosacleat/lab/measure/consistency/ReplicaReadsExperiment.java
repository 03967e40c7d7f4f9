package org.mimosacleat.lab.measure.consistency;

import java.util.ArrayList;
import java.util.List;
import org.mimosacleat.lab.measure.Deployment;
import org.mimosacleat.lab.measure.Experiment;
import org.mimosacleat.lab.measure.Reading;

/**
 * Measures the share of reads that replicas serve while they lag by 20 ms (median) and 500 ms
 * (p99). The baselines are the primary only, a random replica, and a router that knows every lag.
 */
public final class ReplicaReadsExperiment implements Experiment {
  private static final int[] LAG_FACTORS = {5, 25};
  private static final String SHARE = "reads served by replicas, ";
  private static final String STALE = "stale reads, ";
  private static final String ROUTER = "router";

  /** Creates the experiment. */
  public ReplicaReadsExperiment() {}

  @Override
  public String name() {
    return "replica-reads";
  }

  @Override
  public List<Reading> run(Deployment deployment, long seed) {
    ReadRun run = new ReadRun(deployment, 1, seed);
    run.run();
    List<Reading> readings = new ArrayList<>();
    add(readings, "own writes", run.readYourWritesShares());
    add(readings, "age 200 ms", run.boundedStalenessShares());
    for (int factor : LAG_FACTORS) {
      ReadRun slower = new ReadRun(deployment, factor, seed);
      slower.run();
      add(readings, "own writes, lag x " + factor, slower.readYourWritesShares());
      add(readings, "age 200 ms, lag x " + factor, slower.boundedStalenessShares());
    }
    readings.add(
        new Reading("polls of endpoints", ROUTER, "1/s a group", run.pollsPerSecond(), ""));
    return readings;
  }

  private static void add(List<Reading> readings, String kind, ReadShares shares) {
    readings.add(new Reading(SHARE + kind, ROUTER, "%", shares.routedPercent(), "at least 90"));
    readings.add(new Reading(SHARE + kind, "primary only", "%", 0, ""));
    readings.add(
        new Reading(SHARE + kind, "random replica, then primary", "%", shares.randomPercent(), ""));
    readings.add(
        new Reading(
            SHARE + kind, "all-knowing, no wait", "%", shares.boundPercent(), "upper bound"));
    readings.add(
        new Reading(
            SHARE + kind,
            "all-knowing, same wait",
            "%",
            shares.boundWithWaitPercent(),
            "upper bound"));
    readings.add(new Reading(STALE + kind, ROUTER, "reads", shares.routedStale(), "0"));
    readings.add(
        new Reading(STALE + kind, "random replica, unchecked", "reads", shares.randomStale(), ""));
    readings.add(
        new Reading("mean wait, " + kind, ROUTER, "ms", shares.meanWaitMilliseconds(), ""));
  }
}

package org.mimosacleat.lab.measure.lists;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.mimosacleat.core.store.StoreLimits;
import org.mimosacleat.lab.measure.Deployment;
import org.mimosacleat.lab.measure.Experiment;
import org.mimosacleat.lab.measure.Reading;

/**
 * Counts the requests that reach the store in its busiest second, during an outage and after it,
 * while every process of a fleet has pending work. Compares the rate limiter with exponential
 * backoff without jitter.
 */
public final class StoreReturnExperiment implements Experiment {
  private static final int LARGE_FLEET = 6500;
  private static final double SHARED_REQUESTS_PER_SECOND = 1000;
  private static final Duration OUTAGE = Duration.ofMinutes(10);
  private static final Duration TIME_AFTER_OUTAGE = Duration.ofMinutes(5);

  @Override
  public String name() {
    return "store-return";
  }

  @Override
  public List<Reading> run(Deployment deployment, long seed) {
    List<Reading> readings = new ArrayList<>();
    for (int processes : List.of(deployment.proxies(), LARGE_FLEET)) {
      StoreLimits limits = StoreLimits.forFleet(processes, SHARED_REQUESTS_PER_SECOND);
      StoreReturnRun rateLimited = new StoreReturnRun(OUTAGE, TIME_AFTER_OUTAGE);
      for (int process = 0; process < processes; process++) {
        rateLimited.add(
            new RateLimitedRetryPolicy(limits, rateLimited.clock(), new Random(seed + process)));
      }
      readings.addAll(readings("gate, " + processes + " processes", rateLimited, processes));
      StoreReturnRun doubling = new StoreReturnRun(OUTAGE, TIME_AFTER_OUTAGE);
      for (int process = 0; process < processes; process++) {
        doubling.add(new DoublingRetryPolicy(doubling.clock()));
      }
      readings.addAll(
          readings("doubling, no jitter, " + processes + " processes", doubling, processes));
    }
    return readings;
  }

  private static List<Reading> readings(String variant, StoreReturnRun run, int processes) {
    run.run();
    Instant lastServed = run.lastFirstResponse();
    double seconds = Duration.between(run.availableFrom(), lastServed).toMillis() / 1000.0;
    return List.of(
        new Reading("busiest second while down", variant, "requests/s", run.peakDuringOutage(), ""),
        new Reading("busiest second after", variant, "requests/s", run.peakAfterReturn(), "2000"),
        new Reading(
            "processes served after", variant, "processes", run.servedProcesses(), "" + processes),
        new Reading("last process served after", variant, "s", seconds, ""));
  }
}

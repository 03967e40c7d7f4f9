package org.mimosacleat.lab.measure.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.mimosacleat.core.store.StoreLimits;
import org.mimosacleat.core.store.StorePermit;
import org.mimosacleat.core.store.StoreRateLimiter;
import org.mimosacleat.core.time.PausedClock;
import org.mimosacleat.lab.measure.Deployment;
import org.mimosacleat.lab.measure.Experiment;
import org.mimosacleat.lab.measure.Reading;

/**
 * Measures the load of the fleet on the store during an outage and after it, with the rate limiter
 * of each process and, as baseline, with a fixed retry interval.
 */
public final class StoreReturnExperiment implements Experiment {
  private static final int FULL_NODES = 6_500;
  private static final double SHARED_REQUESTS_PER_SECOND = 1_000;
  private static final int REQUESTS_PER_NODE = 3;
  private static final int OUTAGE_SECONDS = 600;
  private static final int RUN_SECONDS = 1_200;
  private static final int STEPS_PER_SECOND = 10;
  private static final int FIXED_RETRY_SECONDS = 5;

  @Override
  public String name() {
    return "store-return";
  }

  @Override
  public List<Reading> run(Deployment deployment, long seed) {
    List<Reading> readings = new ArrayList<>();
    for (int nodes : List.of(deployment.proxies(), FULL_NODES)) {
      add(readings, nodes + " nodes, gate", rateLimited(nodes, seed));
      add(readings, nodes + " nodes, retry every 5 s", fixedInterval(nodes));
    }
    return readings;
  }

  private static StoreRequests rateLimited(int nodes, long seed) {
    Random random = new Random(seed);
    PausedClock clock = new PausedClock();
    StoreLimits limits = StoreLimits.forFleet(nodes, SHARED_REQUESTS_PER_SECOND);
    List<StoreRateLimiter> rateLimiters = new ArrayList<>();
    for (int node = 0; node < nodes; node++) {
      rateLimiters.add(new StoreRateLimiter(limits, clock, new Random(random.nextLong())));
    }
    int[] waiting = new int[nodes];
    Arrays.fill(waiting, REQUESTS_PER_NODE);
    Instant[] nextAttempt = new Instant[nodes];
    Arrays.fill(nextAttempt, clock.instant());
    StoreRequests requests =
        new StoreRequests(OUTAGE_SECONDS, RUN_SECONDS, nodes * REQUESTS_PER_NODE);
    for (int step = 0; step < RUN_SECONDS * STEPS_PER_SECOND; step++) {
      int second = step / STEPS_PER_SECOND;
      for (int node = 0; node < nodes; node++) {
        while (waiting[node] > 0 && !clock.instant().isBefore(nextAttempt[node])) {
          if (rateLimiters.get(node).tryAcquire() instanceof StorePermit.Deferred deferred) {
            nextAttempt[node] = deferred.retryAt();
            break;
          }
          waiting[node] -= requests.recordRequest(second) ? 1 : 0;
          report(rateLimiters.get(node), second >= OUTAGE_SECONDS);
        }
      }
      clock.advance(Duration.ofMillis(1_000 / STEPS_PER_SECOND));
    }
    return requests;
  }

  private static void report(StoreRateLimiter rateLimiter, boolean answered) {
    if (answered) {
      rateLimiter.recordSuccess();
    } else {
      rateLimiter.recordFailure();
    }
  }

  private static StoreRequests fixedInterval(int nodes) {
    StoreRequests requests =
        new StoreRequests(OUTAGE_SECONDS, RUN_SECONDS, nodes * REQUESTS_PER_NODE);
    int[] waiting = new int[nodes];
    Arrays.fill(waiting, REQUESTS_PER_NODE);
    for (int second = 0; second < RUN_SECONDS; second++) {
      for (int node = second % FIXED_RETRY_SECONDS; node < nodes; node += FIXED_RETRY_SECONDS) {
        for (int request = waiting[node]; request > 0; request--) {
          waiting[node] -= requests.recordRequest(second) ? 1 : 0;
        }
      }
    }
    return requests;
  }

  private static void add(List<Reading> readings, String variant, StoreRequests requests) {
    String limit = "2000 reads/s";
    readings.add(
        new Reading(
            "busiest second of the outage", variant, "1/s", requests.peakDuringOutage(), limit));
    readings.add(
        new Reading("busiest second after it", variant, "1/s", requests.peakAfterReturn(), limit));
    readings.add(
        new Reading("all questions answered after", variant, "s", requests.secondsToAnswer(), ""));
  }
}

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
 * Measures what the fleet asks of the store during an outage and after its return, with the gate of
 * each process and, as baseline, with a fixed retry interval.
 */
public final class StoreReturnExperiment implements Experiment {
  private static final int FULL_NODES = 6_500;
  private static final double SHARED_REQUESTS_PER_SECOND = 1_000;
  private static final int QUESTIONS = 3;
  private static final int OUTAGE_SECONDS = 600;
  private static final int SECONDS = 1_200;
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
      add(readings, nodes + " nodes, gate", gated(nodes, seed));
      add(readings, nodes + " nodes, retry every 5 s", fixed(nodes));
    }
    return readings;
  }

  private static Demand gated(int nodes, long seed) {
    Random random = new Random(seed);
    PausedClock clock = new PausedClock();
    StoreLimits limits = StoreLimits.forFleet(nodes, SHARED_REQUESTS_PER_SECOND);
    List<StoreRateLimiter> gates = new ArrayList<>();
    for (int node = 0; node < nodes; node++) {
      gates.add(new StoreRateLimiter(limits, clock, new Random(random.nextLong())));
    }
    int[] waiting = new int[nodes];
    Arrays.fill(waiting, QUESTIONS);
    Instant[] nextTry = new Instant[nodes];
    Arrays.fill(nextTry, clock.instant());
    Demand demand = new Demand(OUTAGE_SECONDS, SECONDS, nodes * QUESTIONS);
    for (int step = 0; step < SECONDS * STEPS_PER_SECOND; step++) {
      int second = step / STEPS_PER_SECOND;
      for (int node = 0; node < nodes; node++) {
        while (waiting[node] > 0 && !clock.instant().isBefore(nextTry[node])) {
          if (gates.get(node).tryAcquire() instanceof StorePermit.Deferred deferred) {
            nextTry[node] = deferred.retryAt();
            break;
          }
          waiting[node] -= demand.ask(second) ? 1 : 0;
          report(gates.get(node), second >= OUTAGE_SECONDS);
        }
      }
      clock.advance(Duration.ofMillis(1_000 / STEPS_PER_SECOND));
    }
    return demand;
  }

  private static void report(StoreRateLimiter gate, boolean answered) {
    if (answered) {
      gate.recordSuccess();
    } else {
      gate.recordFailure();
    }
  }

  private static Demand fixed(int nodes) {
    Demand demand = new Demand(OUTAGE_SECONDS, SECONDS, nodes * QUESTIONS);
    int[] waiting = new int[nodes];
    Arrays.fill(waiting, QUESTIONS);
    for (int second = 0; second < SECONDS; second++) {
      for (int node = second % FIXED_RETRY_SECONDS; node < nodes; node += FIXED_RETRY_SECONDS) {
        for (int question = waiting[node]; question > 0; question--) {
          waiting[node] -= demand.ask(second) ? 1 : 0;
        }
      }
    }
    return demand;
  }

  private static void add(List<Reading> readings, String variant, Demand demand) {
    String limit = "2000 reads/s";
    readings.add(
        new Reading("busiest second of the outage", variant, "1/s", demand.busiestDown(), limit));
    readings.add(new Reading("busiest second after it", variant, "1/s", demand.busiestUp(), limit));
    readings.add(
        new Reading("all questions answered after", variant, "s", demand.secondsToAnswer(), ""));
  }
}

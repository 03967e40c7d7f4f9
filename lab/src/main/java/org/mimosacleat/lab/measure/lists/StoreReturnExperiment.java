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
 * Counts the requests that reach the store in its busiest second, while it is down and after it
 * returns, when a whole fleet has work waiting: with the gate, and with retries at fixed times.
 */
public final class StoreReturnExperiment implements Experiment {
  private static final int LARGE_FLEET = 6500;
  private static final double SHARED_RATE = 1000;
  private static final Duration OUTAGE = Duration.ofMinutes(10);
  private static final Duration AFTER = Duration.ofMinutes(5);

  @Override
  public String name() {
    return "store-return";
  }

  @Override
  public List<Reading> run(Deployment deployment, long seed) {
    List<Reading> readings = new ArrayList<>();
    for (int processes : List.of(deployment.proxies(), LARGE_FLEET)) {
      StoreLimits limits = StoreLimits.forFleet(processes, SHARED_RATE);
      StoreReturn gated = new StoreReturn(OUTAGE, AFTER);
      for (int process = 0; process < processes; process++) {
        gated.add(new GatedRetries(limits, gated.clock(), new Random(seed + process)));
      }
      readings.addAll(readings("gate, " + processes + " processes", gated, processes));
      StoreReturn fixed = new StoreReturn(OUTAGE, AFTER);
      for (int process = 0; process < processes; process++) {
        fixed.add(new DoublingRetries(fixed.clock()));
      }
      readings.addAll(
          readings("doubling, no jitter, " + processes + " processes", fixed, processes));
    }
    return readings;
  }

  private static List<Reading> readings(String variant, StoreReturn run, int processes) {
    run.run();
    Instant lastServed = run.lastFirstAnswer();
    double seconds = Duration.between(run.returnedAt(), lastServed).toMillis() / 1000.0;
    return List.of(
        new Reading("busiest second while down", variant, "requests/s", run.peakWhileDown(), ""),
        new Reading("busiest second after", variant, "requests/s", run.peakAfter(), "2000"),
        new Reading("processes served after", variant, "processes", run.served(), "" + processes),
        new Reading("last process served after", variant, "s", seconds, ""));
  }
}

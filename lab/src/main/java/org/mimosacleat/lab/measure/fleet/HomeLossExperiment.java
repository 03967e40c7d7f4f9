package org.mimosacleat.lab.measure.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.mimosacleat.lab.measure.Deployment;
import org.mimosacleat.lab.measure.Experiment;
import org.mimosacleat.lab.measure.Reading;

/**
 * Measures how long a group serves no reads and no writes after its home is lost. Drives the
 * production monitors and the lease of the next home over a network with the deployment's latency.
 */
public final class HomeLossExperiment implements Experiment {
  private static final int RUNS = 200;
  private static final Duration BASELINE_LEASE = Duration.ofSeconds(9);

  @Override
  public String name() {
    return "home-loss";
  }

  @Override
  public List<Reading> run(Deployment deployment, long seed) {
    Random random = new Random(seed);
    List<Reading> readings = new ArrayList<>();
    for (boolean storeIsDown : List.of(false, true)) {
      List<Double> reads = new ArrayList<>();
      List<Double> writes = new ArrayList<>();
      for (int run = 0; run < RUNS; run++) {
        HomeLossRun loss =
            new HomeLossRun(deployment.zoneLatency(), storeIsDown, random.nextLong());
        loss.run();
        reads.add(milliseconds(loss.untilReads()));
        writes.add(milliseconds(loss.untilWrites()));
      }
      String variant = storeIsDown ? "watched home, store down" : "watched home";
      add(readings, "gap in reads after loss of a home", variant, reads, "1000 ms");
      add(readings, "gap in writes after loss of a home", variant, writes, "2000 ms");
    }
    List<Double> waited = new ArrayList<>();
    for (int run = 0; run < RUNS; run++) {
      waited.add(milliseconds(BASELINE_LEASE) * (1 - random.nextDouble() / 3));
    }
    add(readings, "gap in reads after loss of a home", "9 s lease waited out", waited, "");
    return readings;
  }

  private static void add(
      List<Reading> readings, String measure, String variant, List<Double> values, String goal) {
    Collections.sort(values);
    double median = values.get(values.size() / 2);
    double highest = values.getLast();
    readings.add(new Reading(measure + ", median", variant, "ms", median, goal));
    readings.add(new Reading(measure + ", longest", variant, "ms", highest, goal));
  }

  private static double milliseconds(Duration duration) {
    return duration.toNanos() / 1e6;
  }
}

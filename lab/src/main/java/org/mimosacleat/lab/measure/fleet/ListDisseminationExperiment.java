package org.mimosacleat.lab.measure.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.mimosacleat.core.gossip.ListGossipParameters;
import org.mimosacleat.lab.measure.Deployment;
import org.mimosacleat.lab.measure.Experiment;
import org.mimosacleat.lab.measure.Reading;

/**
 * Measures the time until every proxy has applied an accepted list change, with polling as
 * baseline.
 */
public final class ListDisseminationExperiment implements Experiment {
  private static final int CHANGES = 40;
  private static final int ENTRIES = 60;

  @Override
  public String name() {
    return "list-spread";
  }

  @Override
  public List<Reading> run(Deployment deployment, long seed) {
    List<Reading> readings = new ArrayList<>();
    for (double loss : List.of(0.0, 0.2)) {
      DisseminationFleet fleet =
          new DisseminationFleet(
              deployment.proxies(), ENTRIES, deployment.zoneLatency(), loss, seed);
      List<Double> seconds = new ArrayList<>();
      for (int change = 0; change < CHANGES; change++) {
        seconds.add(fleet.acceptChange().toMillis() / 1_000.0);
      }
      String variant = "push and rounds, " + Math.round(100 * loss) + "% of messages lost";
      add(readings, variant, seconds, "3 s");
    }
    add(readings, "polling only", polling(deployment.proxies(), new Random(seed)), "");
    return readings;
  }

  private static List<Double> polling(int proxies, Random random) {
    double interval = ListGossipParameters.STANDARD.pollInterval(proxies).toMillis() / 1_000.0;
    List<Double> seconds = new ArrayList<>();
    for (int change = 0; change < CHANGES; change++) {
      double last = 0;
      for (int proxy = 0; proxy < proxies; proxy++) {
        double wait = interval / 2 + random.nextDouble() * interval;
        last = Math.max(last, random.nextDouble() * wait);
      }
      seconds.add(last);
    }
    return seconds;
  }

  private static void add(
      List<Reading> readings, String variant, List<Double> seconds, String goal) {
    Collections.sort(seconds);
    String measure = "change in force on every proxy";
    double median = seconds.get(seconds.size() / 2);
    readings.add(new Reading(measure + ", median", variant, "s", median, goal));
    readings.add(new Reading(measure + ", longest", variant, "s", seconds.getLast(), goal));
  }
}

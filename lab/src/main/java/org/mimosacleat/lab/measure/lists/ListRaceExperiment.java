package org.mimosacleat.lab.measure.lists;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.mimosacleat.lab.measure.Deployment;
import org.mimosacleat.lab.measure.Experiment;
import org.mimosacleat.lab.measure.Reading;

/**
 * Counts accepted edits that are lost, and keys that revert to an older value at a proxy, when
 * operators edit concurrently. Compares versions with conditional writes to ordering by timestamp
 * and source.
 */
public final class ListRaceExperiment implements Experiment {
  private static final int KEYS = 6;
  private static final double CLOCK_ERROR_MILLISECONDS = 100;

  @Override
  public String name() {
    return "list-race";
  }

  @Override
  public List<Reading> run(Deployment deployment, long seed) {
    List<Reading> readings = new ArrayList<>();
    readings.addAll(versioned(deployment.proxies(), seed));
    readings.addAll(timed(deployment.proxies(), seed, true));
    readings.addAll(timed(deployment.proxies(), seed, false));
    return readings;
  }

  private static List<Reading> versioned(int proxies, long seed) {
    EventQueue events = new EventQueue();
    Random random = new Random(seed);
    VersionedVariant variant =
        new VersionedVariant(events.clock(), new Random(seed), proxies, KEYS);
    RaceStatistics statistics = new ListRace<>(events, random, variant, proxies, KEYS).run();
    return readings("versions, conditional write", statistics, variant.currentValues(0), "0");
  }

  private static List<Reading> timed(int proxies, long seed, boolean wholeList) {
    EventQueue events = new EventQueue();
    Random random = new Random(seed);
    List<Duration> clockErrors = new ArrayList<>();
    for (int proxy = 0; proxy < proxies; proxy++) {
      double error = random.nextGaussian() * CLOCK_ERROR_MILLISECONDS;
      clockErrors.add(Duration.ofMillis(Math.round(error)));
    }
    TimestampVariant variant = new TimestampVariant(events.clock(), clockErrors, KEYS, wholeList);
    RaceStatistics statistics = new ListRace<>(events, random, variant, proxies, KEYS).run();
    String name = wholeList ? "time and source, whole list" : "time and source, each key";
    return readings(name, statistics, variant.currentValues(0), "");
  }

  private static List<Reading> readings(
      String variant, RaceStatistics statistics, List<Long> finalValues, String goal) {
    return List.of(
        new Reading("accepted edits", variant, "edits", statistics.acceptedEdits(), ""),
        new Reading(
            "accepted edits lost", variant, "edits", statistics.lostEdits(finalValues), goal),
        new Reading("reversions at proxies", variant, "keys", statistics.reversions(), goal),
        new Reading("edits refused and made again", variant, "edits", statistics.refusals(), ""));
  }
}

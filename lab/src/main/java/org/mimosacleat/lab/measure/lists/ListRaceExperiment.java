package org.mimosacleat.lab.measure.lists;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.mimosacleat.lab.measure.Deployment;
import org.mimosacleat.lab.measure.Experiment;
import org.mimosacleat.lab.measure.Reading;

/**
 * Counts accepted edits that are lost and keys that go back at a proxy, when operators race: by
 * versions with conditional writes, and by time and source name.
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
    Timeline timeline = new Timeline();
    Random random = new Random(seed);
    VersionedVariant variant =
        new VersionedVariant(timeline.clock(), new Random(seed), proxies, KEYS);
    RaceCount count = new ListRace<>(timeline, random, variant, proxies, KEYS).run();
    return readings("versions, conditional write", count, variant.inForce(0), "0");
  }

  private static List<Reading> timed(int proxies, long seed, boolean wholeList) {
    Timeline timeline = new Timeline();
    Random random = new Random(seed);
    List<Duration> clockErrors = new ArrayList<>();
    for (int proxy = 0; proxy < proxies; proxy++) {
      double error = random.nextGaussian() * CLOCK_ERROR_MILLISECONDS;
      clockErrors.add(Duration.ofMillis(Math.round(error)));
    }
    TimedVariant variant = new TimedVariant(timeline.clock(), clockErrors, KEYS, wholeList);
    RaceCount count = new ListRace<>(timeline, random, variant, proxies, KEYS).run();
    String name = wholeList ? "time and source, whole list" : "time and source, each key";
    return readings(name, count, variant.inForce(0), "");
  }

  private static List<Reading> readings(
      String variant, RaceCount count, List<Long> finalValues, String goal) {
    return List.of(
        new Reading("accepted edits", variant, "edits", count.acceptedEdits(), ""),
        new Reading("accepted edits lost", variant, "edits", count.lostEdits(finalValues), goal),
        new Reading("reversions at proxies", variant, "keys", count.reversions(), goal),
        new Reading("edits refused and made again", variant, "edits", count.refusals(), ""));
  }
}

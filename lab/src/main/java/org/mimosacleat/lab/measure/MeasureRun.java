package org.mimosacleat.lab.measure;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Runs experiments with several seeds and summarizes each figure over the seeds. */
public final class MeasureRun {
  private final List<Long> seeds;

  /** Creates a run in which each experiment is repeated once with each seed. */
  public MeasureRun(List<Long> seeds) {
    this.seeds = List.copyOf(seeds);
  }

  /** Returns one summary per measure and variant, in the order of the experiment's readings. */
  public List<Summary> run(Experiment experiment, Deployment deployment) {
    Map<ReadingKey, List<Reading>> readings = new LinkedHashMap<>();
    for (long seed : seeds) {
      for (Reading reading : experiment.run(deployment, seed)) {
        readings.computeIfAbsent(ReadingKey.of(reading), key -> new ArrayList<>()).add(reading);
      }
    }
    return readings.values().stream()
        .map(seedReadings -> summary(experiment, deployment, seedReadings))
        .toList();
  }

  private static Summary summary(
      Experiment experiment, Deployment deployment, List<Reading> seedReadings) {
    List<Reading> sorted =
        seedReadings.stream().sorted(Comparator.comparingDouble(Reading::value)).toList();
    return new Summary(
        experiment.name(),
        deployment.name(),
        sorted.get(sorted.size() / 2),
        sorted.getFirst().value(),
        sorted.getLast().value());
  }

  /**
   * Identifies a figure; readings of different seeds with equal keys are summarized together.
   *
   * @param measure what was measured
   * @param variant the production algorithm or baseline
   */
  private record ReadingKey(String measure, String variant) {
    static ReadingKey of(Reading reading) {
      return new ReadingKey(reading.measure(), reading.variant());
    }
  }
}

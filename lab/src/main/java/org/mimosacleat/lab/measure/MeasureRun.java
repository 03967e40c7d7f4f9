package org.mimosacleat.lab.measure;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Runs experiments over several seeds and sums up each figure. */
public final class MeasureRun {
  private final List<Long> seeds;

  /** Takes the seeds; each experiment runs once with each of them. */
  public MeasureRun(List<Long> seeds) {
    this.seeds = List.copyOf(seeds);
  }

  /** Returns one summary for each measure and variant, in the order of the experiment. */
  public List<Summary> run(Experiment experiment, Deployment deployment) {
    Map<Figure, List<Reading>> readings = new LinkedHashMap<>();
    for (long seed : seeds) {
      for (Reading reading : experiment.run(deployment, seed)) {
        readings.computeIfAbsent(Figure.of(reading), any -> new ArrayList<>()).add(reading);
      }
    }
    return readings.values().stream()
        .map(ofSeeds -> summary(experiment, deployment, ofSeeds))
        .toList();
  }

  private static Summary summary(
      Experiment experiment, Deployment deployment, List<Reading> ofSeeds) {
    List<Reading> sorted =
        ofSeeds.stream().sorted(Comparator.comparingDouble(Reading::value)).toList();
    return new Summary(
        experiment.name(),
        deployment.name(),
        sorted.get(sorted.size() / 2),
        sorted.getFirst().value(),
        sorted.getLast().value());
  }

  /**
   * What makes readings of several seeds the same figure.
   *
   * @param measure what was measured
   * @param variant the decision or baseline
   */
  private record Figure(String measure, String variant) {
    static Figure of(Reading reading) {
      return new Figure(reading.measure(), reading.variant());
    }
  }
}

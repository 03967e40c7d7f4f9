package org.mimosacleat.serving.selection;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * A random candidate, in proportion to its free slots. Knowledge loses its influence with age: then
 * the proportion approaches that of all slots.
 *
 * @param memoryMillis the age at which a report has lost about two thirds of its influence, in
 *     milliseconds; about the time in which queues change
 */
public record WeightedRandom(double memoryMillis) implements SelectionStrategy {
  /** An endpoint without free slots keeps a small part, so that its recovery is noticed. */
  private static final double MIN_FREE_FRACTION = 0.05;

  @Override
  public int choose(List<Candidate> candidates, RandomGenerator random) {
    double total = 0;
    for (Candidate candidate : candidates) {
      total += weight(candidate);
    }
    double left = random.nextDouble() * total;
    for (int index = 0; index < candidates.size() - 1; index++) {
      left -= weight(candidates.get(index));
      if (left < 0) {
        return index;
      }
    }
    return candidates.size() - 1;
  }

  private double weight(Candidate candidate) {
    double trust = candidate.report().isPresent() ? trust(candidate.report().get()) : 1;
    double used = Math.min(1, (double) candidate.knownInFlight() / candidate.slots());
    return candidate.weight() * Math.max(MIN_FREE_FRACTION, 1 - trust * used);
  }

  private double trust(LoadReport report) {
    return Math.exp(-report.ageMillis() / memoryMillis);
  }
}

package org.mimosacleat.serving.selection;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * The lowest expected time, with random variation so that proxies which know the same choose
 * differently.
 *
 * @param maxJitter the largest variation, as a fraction of the time
 */
public record LowestExpectedTime(double maxJitter) implements SelectionStrategy {
  @Override
  public int choose(List<Candidate> candidates, RandomGenerator random) {
    int best = 0;
    double lowest = Double.MAX_VALUE;
    for (int index = 0; index < candidates.size(); index++) {
      Candidate candidate = candidates.get(index);
      double time = candidate.costNanos() * (candidate.knownInFlight() + 1);
      double varied = time * (1 + maxJitter * random.nextDouble());
      if (varied < lowest) {
        lowest = varied;
        best = index;
      }
    }
    return best;
  }
}

package org.mimosacleat.serving.selection;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * The lowest expected time, with this proxy's decisions since the latest report added. Other
 * proxies are taken to have decided alike, so the own ones are multiplied by the number of proxies.
 *
 * @param choosers the estimated number of proxies that choose among the same endpoints
 * @param maxJitter the largest random variation, as a fraction of the time
 */
public record OwnDecisions(double choosers, double maxJitter) implements SelectionStrategy {
  @Override
  public int choose(List<Candidate> candidates, RandomGenerator random) {
    int best = 0;
    double lowest = Double.MAX_VALUE;
    for (int index = 0; index < candidates.size(); index++) {
      Candidate candidate = candidates.get(index);
      double time = candidate.expectedNanos(inFlight(candidate));
      double varied = time * (1 + maxJitter * random.nextDouble());
      if (varied < lowest) {
        lowest = varied;
        best = index;
      }
    }
    return best;
  }

  private double inFlight(Candidate candidate) {
    if (candidate.report().isEmpty()) {
      return candidate.ownInFlight() * choosers;
    }
    LoadReport report = candidate.report().get();
    return report.inFlight() + report.ownSince() * choosers;
  }
}

package org.mimosacleat.serving.selection;

import java.util.List;
import java.util.random.RandomGenerator;

/** The better of two random candidates, by their expected time. */
public record PowerOfTwoChoices() implements SelectionStrategy {
  @Override
  public int choose(List<Candidate> candidates, RandomGenerator random) {
    if (candidates.size() == 1) {
      return 0;
    }
    int first = random.nextInt(candidates.size());
    int offset = 1 + random.nextInt(candidates.size() - 1);
    int second = (first + offset) % candidates.size();
    return expected(candidates.get(first)) <= expected(candidates.get(second)) ? first : second;
  }

  private static double expected(Candidate candidate) {
    return candidate.expectedNanos(candidate.knownInFlight());
  }
}

package org.mimosacleat.serving.selection;

import java.util.List;
import java.util.random.RandomGenerator;

/** Chooses one of several endpoints that can all run a statement. */
public sealed interface SelectionStrategy
    permits LowestExpectedTime, PowerOfTwoChoices, WeightedRandom, OwnDecisions, FairTurns {
  /**
   * Returns the index of the chosen candidate.
   *
   * @param candidates at least one
   */
  int choose(List<Candidate> candidates, RandomGenerator random);
}

package org.mimosacleat.lab.fuzz;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.Random;
import java.util.stream.Stream;
import net.jqwik.api.Example;
import net.jqwik.api.Shrinkable;
import net.jqwik.api.state.ActionChain;

/** Real decisions keep what must always hold under any order of faults; mutants do not. */
class GroupFuzzTest {
  private static final long SEED = Long.getLong("fuzz.seed", 20_261_204L);
  private static final int TRIES = Integer.getInteger("fuzz.tries", 400);
  private static final int EDGE_CASES = 1000;

  private Reached reached = Reached.NOTHING;

  @Example
  void realDecisionsViolateNothing() {
    Optional<String> found = firstViolation(Decisions.REAL, "");
    System.out.println("fuzz of a group: seed " + SEED + ", " + TRIES + " tries, " + reached);
    assertEquals(Optional.empty(), found);
  }

  @Example
  void everyMutantIsCaught() {
    for (Mutants mutant : Mutants.values()) {
      Optional<String> found = firstViolation(mutant, mutant.violates());
      System.out.println(
          "mutant " + mutant + ": " + found.map(GroupFuzzTest::firstLine).orElse("not caught"));
      assertTrue(found.isPresent(), mutant + " was not caught in " + TRIES + " tries");
    }
  }

  private static String firstLine(String text) {
    return text.lines().findFirst().orElse("");
  }

  private Optional<String> firstViolation(Decisions decisions, String kind) {
    Random random = new Random(SEED);
    Stream<Shrinkable<ActionChain<World>>> chains =
        Commands.chains(decisions).generator(EDGE_CASES).stream(random);
    return chains
        .limit(TRIES)
        .map(Shrinkable::value)
        .flatMap(chain -> violation(chain, kind).stream())
        .findFirst();
  }

  private Optional<String> violation(ActionChain<World> chain, String kind) {
    World world = chain.run();
    reached = reached.plus(world.reached());
    return world.violations().stream()
        .filter(violation -> violation.startsWith(kind))
        .findFirst()
        .map(violation -> violation + "\n" + String.join("\n", chain.transformations()));
  }
}

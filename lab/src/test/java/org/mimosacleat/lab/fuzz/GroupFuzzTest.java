package org.mimosacleat.lab.fuzz;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;

/** Real decisions keep what must always hold under any order of faults; mutants do not. */
class GroupFuzzTest {
  private Reached reached = Reached.NOTHING;

  @Example
  void realDecisionsViolateNothing() {
    Optional<String> found =
        Fuzz.firstViolation(Commands.chains(Decisions.REAL), this::violations, "");
    Fuzz.print("a group", reached);
    assertEquals(Optional.empty(), found);
  }

  @Example
  void everyMutantIsCaught() {
    for (Mutants mutant : Mutants.values()) {
      Optional<String> found =
          Fuzz.firstViolation(Commands.chains(mutant), World::violations, mutant.violates());
      Fuzz.printMutant(mutant, found);
      assertTrue(found.isPresent(), mutant + " was not caught in " + Fuzz.TRIES + " tries");
    }
  }

  private List<String> violations(World world) {
    reached = reached.plus(world.reached());
    return world.violations();
  }
}

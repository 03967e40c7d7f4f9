package org.mimosacleat.lab.fuzz;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;

/** Real decisions keep what must always hold under any order of faults; mutants do not. */
class GroupFuzzTest {
  private static final int STEPS_TO_RECOVER = 200;

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
    List<String> violations = new ArrayList<>(world.violations());
    world.heal();
    world.run(STEPS_TO_RECOVER);
    if (world.home().isEmpty()) {
      violations.add("no home serves after all faults have ended: " + world.journal());
    }
    return violations;
  }
}

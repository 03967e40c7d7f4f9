package org.mimosacleat.lab.fuzz;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;

/** The production components keep all invariants under random faults; each mutant violates one. */
class GroupFuzzTest {
  private static final int STEPS_TO_RECOVER = 200;

  private Coverage coverage = Coverage.NONE;

  @Example
  void realComponentsViolateNothing() {
    Optional<String> found =
        FuzzRunner.firstViolation(GroupCommands.chains(ProxyComponents.REAL), this::violations, "");
    FuzzRunner.print("a group", coverage);
    assertEquals(Optional.empty(), found);
  }

  @Example
  void everyMutantIsCaught() {
    for (Mutant mutant : Mutant.values()) {
      Optional<String> found =
          FuzzRunner.firstViolation(
              GroupCommands.chains(mutant),
              GroupSimulation::violations,
              mutant.expectedViolation());
      FuzzRunner.printMutant(mutant, found);
      assertTrue(found.isPresent(), mutant + " was not caught in " + FuzzRunner.TRIES + " tries");
    }
  }

  private List<String> violations(GroupSimulation simulation) {
    coverage = coverage.plus(simulation.coverage());
    List<String> violations = new ArrayList<>(simulation.violations());
    simulation.heal();
    simulation.runSteps(STEPS_TO_RECOVER);
    if (simulation.home().isEmpty()) {
      violations.add(
          "no home serves after all faults have ended: "
              + simulation.explanations()
              + ", "
              + simulation.state());
    }
    return violations;
  }
}

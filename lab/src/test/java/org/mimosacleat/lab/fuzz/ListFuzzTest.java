package org.mimosacleat.lab.fuzz;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.ActionChainArbitrary;
import org.mimosacleat.core.lists.ListKind;

/** Every accepted edit comes into force everywhere, and no proxy returns to a lower version. */
class ListFuzzTest {
  private static final int MAX_COMMANDS = 60;
  private static final int MAX_MESSAGES = 20;

  private int acceptedEdits;

  @Example
  void realComponentsViolateNothing() {
    Optional<String> found = firstViolation(ListComponents.REAL);
    FuzzRunner.print("lists", acceptedEdits + " edits accepted");
    assertEquals(Optional.empty(), found);
  }

  @Example
  void registryThatAcceptsLowerVersionsIsCaught() {
    Optional<String> found = firstViolation(ListComponents.ACCEPTS_LOWER_VERSIONS);
    FuzzRunner.printMutant("ACCEPTS_LOWER_VERSIONS", found);
    assertTrue(found.isPresent());
  }

  @Example
  void gossipThatNeverComparesVersionsIsCaught() {
    Optional<String> found = firstViolation(ListComponents.NEVER_COMPARES);
    FuzzRunner.printMutant("NEVER_COMPARES", found);
    assertTrue(found.isPresent());
  }

  private Optional<String> firstViolation(ListComponents components) {
    return FuzzRunner.firstViolation(chains(components), this::violations, "list change");
  }

  private List<String> violations(ListSimulation simulation) {
    simulation.checkConvergence();
    acceptedEdits += simulation.acceptedEdits();
    return simulation.violations();
  }

  private static ActionChainArbitrary<ListSimulation> chains(ListComponents components) {
    int proxies = ListSimulation.PROXIES;
    return ActionChain.startWith(() -> new ListSimulation(components))
        .withAction(
            4,
            FuzzRunner.command(
                "edit plans", proxies, (simulation, n) -> simulation.edit(n, ListKind.PLANS)))
        .withAction(
            2,
            FuzzRunner.command(
                "edit allowances",
                proxies,
                (simulation, n) -> simulation.edit(n, ListKind.ALLOWANCES)))
        .withAction(
            2,
            FuzzRunner.command(
                "edit concurrently",
                proxies,
                (simulation, n) -> simulation.editConcurrently(n, ListKind.PLANS)))
        .withAction(3, FuzzRunner.command("run", 10, ListSimulation::runSteps))
        .withAction(
            4,
            FuzzRunner.command("run without delivery", 10, ListSimulation::advanceWithoutDelivery))
        .withAction(6, FuzzRunner.command("deliver", MAX_MESSAGES, ListSimulation::deliverOne))
        .withAction(3, FuzzRunner.command("drop", MAX_MESSAGES, ListSimulation::dropOne))
        .withAction(1, FuzzRunner.command("replace", proxies, ListSimulation::replaceProxy))
        .withAction(
            1,
            FuzzRunner.command("store down", 2, (simulation, n) -> simulation.setStoreDown(n == 1)))
        .withAction(
            1,
            FuzzRunner.command(
                "store answers lost", 2, (simulation, n) -> simulation.setStoreAnswersLost(n == 1)))
        .withMaxTransformations(MAX_COMMANDS);
  }
}

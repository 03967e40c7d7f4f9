package org.mimosacleat.lab.fuzz;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.UnaryOperator;
import net.jqwik.api.Example;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.ActionChainArbitrary;
import org.mimosacleat.core.drain.ProxyDrainAction;

/** A graceful shutdown interrupts no request that ends within the drain's deadlines. */
class DrainFuzzTest {
  private static final int MAX_COMMANDS = 60;

  private int exits;

  @Example
  void realDrainViolatesNothing() {
    Optional<String> found = firstViolation(UnaryOperator.identity());
    FuzzRunner.print("the drain", exits + " exits");
    assertEquals(Optional.empty(), found);
    assertTrue(exits > 0);
  }

  @Example
  void exitThatDoesNotWaitIsCaught() {
    Optional<String> found =
        firstViolation(
            actions ->
                replace(
                    actions,
                    new ProxyDrainAction.AnnounceLeaving(),
                    new ProxyDrainAction.Exit("immediately", 0)));
    FuzzRunner.printMutant("EXITS_IMMEDIATELY", found);
    assertTrue(found.isPresent());
  }

  private Optional<String> firstViolation(UnaryOperator<List<ProxyDrainAction>> actionChange) {
    return FuzzRunner.firstViolation(chains(actionChange), this::violations, "graceful shutdown");
  }

  private List<String> violations(DrainSimulation simulation) {
    exits += simulation.hasExited() ? 1 : 0;
    return simulation.violations();
  }

  private static List<ProxyDrainAction> replace(
      List<ProxyDrainAction> actions, ProxyDrainAction replaced, ProxyDrainAction replacement) {
    List<ProxyDrainAction> changed = new ArrayList<>(actions);
    changed.replaceAll(action -> action.equals(replaced) ? replacement : action);
    return changed;
  }

  private static ActionChainArbitrary<DrainSimulation> chains(
      UnaryOperator<List<ProxyDrainAction>> actionChange) {
    return ActionChain.startWith(() -> new DrainSimulation(actionChange))
        .withAction(
            4,
            FuzzRunner.command(
                "start home request", 1, (simulation, n) -> simulation.startHomeRequest()))
        .withAction(
            4,
            FuzzRunner.command(
                "start client request", 1, (simulation, n) -> simulation.startClientRequest()))
        .withAction(
            5,
            FuzzRunner.command(
                "finish home request", 1, (simulation, n) -> simulation.finishHomeRequest()))
        .withAction(
            5,
            FuzzRunner.command(
                "finish client request", 1, (simulation, n) -> simulation.finishClientRequest()))
        .withAction(1, FuzzRunner.command("signal", 1, (simulation, n) -> simulation.signal()))
        .withAction(
            1,
            FuzzRunner.command(
                "table service down", 2, (simulation, n) -> simulation.setTableServiceDown(n == 1)))
        .withAction(6, FuzzRunner.command("run", 15, (simulation, n) -> simulation.runSteps(n + 1)))
        .withMaxTransformations(MAX_COMMANDS);
  }
}

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

/** A graceful shutdown cuts off nothing while requests end within the drain's deadlines. */
class DrainFuzzTest {
  private static final int MOST_COMMANDS = 60;

  private int exits;

  @Example
  void realDrainViolatesNothing() {
    Optional<String> found = firstViolation(UnaryOperator.identity());
    Fuzz.print("the drain", exits + " exits");
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
                    new ProxyDrainAction.Exit("at once", 0)));
    Fuzz.printMutant("EXITS_AT_ONCE", found);
    assertTrue(found.isPresent());
  }

  private Optional<String> firstViolation(UnaryOperator<List<ProxyDrainAction>> change) {
    return Fuzz.firstViolation(chains(change), this::violations, "graceful shutdown");
  }

  private List<String> violations(DrainWorld world) {
    exits += world.hasExited() ? 1 : 0;
    return world.violations();
  }

  private static List<ProxyDrainAction> replace(
      List<ProxyDrainAction> actions, ProxyDrainAction real, ProxyDrainAction wrong) {
    List<ProxyDrainAction> changed = new ArrayList<>(actions);
    changed.replaceAll(action -> action.equals(real) ? wrong : action);
    return changed;
  }

  private static ActionChainArbitrary<DrainWorld> chains(
      UnaryOperator<List<ProxyDrainAction>> change) {
    return ActionChain.startWith(() -> new DrainWorld(change))
        .withAction(4, Fuzz.command("start at home", 1, (world, n) -> world.startAtHome()))
        .withAction(4, Fuzz.command("start of client", 1, (world, n) -> world.startOfClient()))
        .withAction(5, Fuzz.command("finish at home", 1, (world, n) -> world.finishAtHome()))
        .withAction(5, Fuzz.command("finish of client", 1, (world, n) -> world.finishOfClient()))
        .withAction(1, Fuzz.command("signal", 1, (world, n) -> world.signal()))
        .withAction(1, Fuzz.command("table", 2, (world, n) -> world.tableDown(n == 1)))
        .withAction(6, Fuzz.command("run", 15, (world, n) -> world.run(n + 1)))
        .withMaxTransformations(MOST_COMMANDS);
  }
}

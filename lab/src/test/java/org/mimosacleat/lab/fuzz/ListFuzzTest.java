package org.mimosacleat.lab.fuzz;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.ActionChainArbitrary;
import org.mimosacleat.core.lists.ListKind;

/** An accepted edit comes into force everywhere, and no proxy ever goes back. */
class ListFuzzTest {
  private static final int MOST_COMMANDS = 60;
  private static final int MOST_MESSAGES = 20;

  private int edits;

  @Example
  void realDecisionsViolateNothing() {
    Optional<String> found = firstViolation(ListDecisions.REAL);
    Fuzz.print("lists", edits + " edits accepted");
    assertEquals(Optional.empty(), found);
  }

  @Example
  void registryThatAcceptsLowerVersionsIsCaught() {
    Optional<String> found = firstViolation(ListDecisions.ACCEPTS_LOWER_VERSIONS);
    Fuzz.printMutant("ACCEPTS_LOWER_VERSIONS", found);
    assertTrue(found.isPresent());
  }

  @Example
  void spreadThatNeverComparesIsCaught() {
    Optional<String> found = firstViolation(ListDecisions.NEVER_COMPARES);
    Fuzz.printMutant("NEVER_COMPARES", found);
    assertTrue(found.isPresent());
  }

  private Optional<String> firstViolation(ListDecisions decisions) {
    return Fuzz.firstViolation(chains(decisions), this::violations, "list change");
  }

  private List<String> violations(ListWorld world) {
    world.expectInForceEverywhere();
    edits += world.edits();
    return world.violations();
  }

  private static ActionChainArbitrary<ListWorld> chains(ListDecisions decisions) {
    int proxies = ListWorld.PROXIES;
    return ActionChain.startWith(() -> new ListWorld(decisions))
        .withAction(4, Fuzz.command("plans", proxies, (w, n) -> w.edit(n, ListKind.PLANS)))
        .withAction(
            2, Fuzz.command("allowances", proxies, (w, n) -> w.edit(n, ListKind.ALLOWANCES)))
        .withAction(2, Fuzz.command("race", proxies, (w, n) -> w.race(n, ListKind.PLANS)))
        .withAction(3, Fuzz.command("run", 10, ListWorld::run))
        .withAction(4, Fuzz.command("delay", 10, ListWorld::delay))
        .withAction(6, Fuzz.command("deliver", MOST_MESSAGES, ListWorld::deliverOne))
        .withAction(3, Fuzz.command("lose", MOST_MESSAGES, ListWorld::loseOne))
        .withAction(1, Fuzz.command("replace", proxies, ListWorld::replace))
        .withAction(1, Fuzz.command("store", 2, (w, n) -> w.storeDown(n == 1)))
        .withAction(1, Fuzz.command("answers", 2, (w, n) -> w.answersLost(n == 1)))
        .withMaxTransformations(MOST_COMMANDS);
  }
}

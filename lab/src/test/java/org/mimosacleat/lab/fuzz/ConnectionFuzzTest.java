package org.mimosacleat.lab.fuzz;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.function.UnaryOperator;
import net.jqwik.api.Example;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.ActionChainArbitrary;
import org.mimosacleat.core.connection.ConnectionUse;
import org.mimosacleat.core.connection.TransactionStatus;

/** The pool never mixes transactions and never crosses answers. */
class ConnectionFuzzTest {
  private static final int MOST_COMMANDS = 60;

  private int answers;

  @Example
  void realPoolViolatesNothing() {
    Optional<String> found = firstViolation(UnaryOperator.identity(), "");
    Fuzz.print("connections", answers + " answers received");
    assertEquals(Optional.empty(), found);
  }

  @Example
  void connectionReturnedWithAnAnswerOutstandingIsCaught() {
    Optional<String> found =
        firstViolation(
            use -> new ConnectionUse(use.status(), 0, false, use.broken(), use.settingsChanged()),
            "crossed");
    Fuzz.printMutant("RETURNS_WITH_ANSWER_OUTSTANDING", found);
    assertTrue(found.isPresent());
  }

  @Example
  void connectionReturnedWithAnOpenTransactionIsCaught() {
    Optional<String> found =
        firstViolation(
            use ->
                new ConnectionUse(
                    TransactionStatus.IDLE,
                    use.answersOutstanding(),
                    use.timedOut(),
                    use.broken(),
                    use.settingsChanged()),
            "mixed");
    Fuzz.printMutant("RETURNS_WITH_OPEN_TRANSACTION", found);
    assertTrue(found.isPresent());
  }

  private Optional<String> firstViolation(UnaryOperator<ConnectionUse> report, String kind) {
    return Fuzz.firstViolation(chains(report), this::violations, kind);
  }

  private List<String> violations(ConnectionWorld world) {
    answers += world.answers();
    return world.violations();
  }

  private static ActionChainArbitrary<ConnectionWorld> chains(UnaryOperator<ConnectionUse> report) {
    int callers = ConnectionWorld.CALLERS;
    return ActionChain.startWith(() -> new ConnectionWorld(report))
        .withAction(6, Fuzz.command("begin", callers, ConnectionWorld::begin))
        .withAction(4, Fuzz.command("statement", callers, ConnectionWorld::statement))
        .withAction(4, Fuzz.command("commit", callers, ConnectionWorld::commit))
        .withAction(4, Fuzz.command("receive", callers, ConnectionWorld::receive))
        .withAction(4, Fuzz.command("finish", callers, ConnectionWorld::finish))
        .withAction(2, Fuzz.command("give up", callers, ConnectionWorld::giveUp))
        .withAction(2, Fuzz.command("leave behind", callers, ConnectionWorld::leaveBehind))
        .withAction(1, Fuzz.command("settings", callers, ConnectionWorld::changeSettings))
        .withMaxTransformations(MOST_COMMANDS);
  }
}

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

/** The pool never mixes transactions or delivers an answer to another transaction. */
class ConnectionFuzzTest {
  private static final int MAX_COMMANDS = 60;

  private int receivedAnswers;

  @Example
  void realPoolViolatesNothing() {
    Optional<String> found = firstViolation(UnaryOperator.identity(), "");
    FuzzRunner.print("connections", receivedAnswers + " answers received");
    assertEquals(Optional.empty(), found);
  }

  @Example
  void connectionReturnedWithAnAnswerOutstandingIsCaught() {
    Optional<String> found =
        firstViolation(
            use -> new ConnectionUse(use.status(), 0, false, use.broken(), use.settingsChanged()),
            "crossed");
    FuzzRunner.printMutant("RETURNS_WITH_ANSWER_OUTSTANDING", found);
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
    FuzzRunner.printMutant("RETURNS_WITH_OPEN_TRANSACTION", found);
    assertTrue(found.isPresent());
  }

  private Optional<String> firstViolation(UnaryOperator<ConnectionUse> useChange, String kind) {
    return FuzzRunner.firstViolation(chains(useChange), this::violations, kind);
  }

  private List<String> violations(ConnectionPoolSimulation simulation) {
    receivedAnswers += simulation.receivedAnswers();
    return simulation.violations();
  }

  private static ActionChainArbitrary<ConnectionPoolSimulation> chains(
      UnaryOperator<ConnectionUse> useChange) {
    int clients = ConnectionPoolSimulation.CLIENTS;
    return ActionChain.startWith(() -> new ConnectionPoolSimulation(useChange))
        .withAction(6, FuzzRunner.command("begin", clients, ConnectionPoolSimulation::begin))
        .withAction(
            4, FuzzRunner.command("statement", clients, ConnectionPoolSimulation::statement))
        .withAction(4, FuzzRunner.command("commit", clients, ConnectionPoolSimulation::commit))
        .withAction(4, FuzzRunner.command("receive", clients, ConnectionPoolSimulation::receive))
        .withAction(4, FuzzRunner.command("finish", clients, ConnectionPoolSimulation::finish))
        .withAction(2, FuzzRunner.command("cancel", clients, ConnectionPoolSimulation::cancel))
        .withAction(
            2,
            FuzzRunner.command(
                "return with outstanding answers",
                clients,
                ConnectionPoolSimulation::returnWithOutstandingAnswers))
        .withAction(
            1,
            FuzzRunner.command(
                "change settings", clients, ConnectionPoolSimulation::changeSettings))
        .withMaxTransformations(MAX_COMMANDS);
  }
}

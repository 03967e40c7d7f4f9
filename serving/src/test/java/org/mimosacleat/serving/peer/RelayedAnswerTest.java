package org.mimosacleat.serving.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.connection.TransactionStatus;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.serving.ServingFixture;
import org.mimosacleat.serving.fleet.Route;
import org.mimosacleat.serving.limits.TeamLimits;
import org.mimosacleat.serving.relay.FakeRelay;
import org.mimosacleat.serving.relay.RelayContext;
import org.mimosacleat.serving.relay.RelayRequest;
import org.mimosacleat.serving.relay.RelayResult;
import org.mimosacleat.serving.session.Session;
import org.mimosacleat.serving.statement.Answer;
import org.mimosacleat.serving.statement.ForwardedStatement;
import org.mimosacleat.serving.statement.PreparedShape;
import org.mimosacleat.serving.statement.StatementId;

/** A request between two proxies ends with a result in time, whatever happens at the other. */
class RelayedAnswerTest {
  private static final int LINE_CHARACTERS = 1 << 20;
  private static final Duration DEADLINE = Duration.ofSeconds(4);
  private static final Duration AT_ONCE = Duration.ofSeconds(2);

  /** Guards against a request that waits until its deadline because its run ended unexpectedly. */
  @Test
  void statementWhoseRunFailsUnexpectedlyIsAnsweredAtOnce() throws IOException {
    try (GatewayOverSocket gateway = GatewayOverSocket.serving()) {
      gateway.proxy.limits = failing();

      Answer answer = answer(assertTimeoutPreemptively(AT_ONCE, () -> write(gateway, "a")));

      assertTrue(answer.hasFailed(ErrorKind.INTERNAL), answer.toString());
      assertEquals(TransactionStatus.IDLE, answer.status());
    }
  }

  /** Guards against the commit of a transaction whose client was told that it had failed. */
  @Test
  void transactionWhoseStatementFailedUnexpectedlyIsNotCommitted() throws IOException {
    FakeRelay relay = new FakeRelay();
    ServingFixture proxy = new ServingFixture(relay);
    try (GatewayOverSocket gateway = GatewayOverSocket.servingBy(proxy.clock)) {
      relay.gateways.add(gateway);
      Session session = proxy.session(ServingFixture.LATEST);
      proxy.begin(session, false);
      proxy.write(session);
      gateway.proxy.primary.rows = null;
      final Answer second = proxy.write(session);
      gateway.proxy.primary.rows = List.of();

      final Answer commit = proxy.commit(session);

      assertTrue(second.hasFailed(ErrorKind.INTERNAL), second.toString());
      assertEquals(TransactionStatus.FAILED, second.status());
      assertTrue(commit.hasFailed(ErrorKind.TRANSACTION_LOST), commit.toString());
      assertTrue(gateway.proxy.primary.ran.stream().noneMatch(ran -> ran.contains("COMMIT")));
    }
  }

  /** Guards against one large answer that ends the connection for all requests on it. */
  @Test
  void answerThatIsTooLargeToRelayFailsAlone() throws IOException {
    try (GatewayOverSocket gateway = GatewayOverSocket.serving()) {
      gateway.proxy.primary.rows = Collections.nCopies(16, "x".repeat(LINE_CHARACTERS));
      final Answer large = answer(write(gateway, "a"));
      gateway.proxy.primary.rows = List.of();

      final Answer next = answer(write(gateway, "a"));

      assertTrue(large.hasFailed(ErrorKind.ANSWER_TOO_LARGE), large.toString());
      assertTrue(next.isDone(), next.toString());
    }
  }

  /** Guards against a line of bytes above 127, which take two bytes each between proxies. */
  @Test
  void longestLineIsRelayedWhateverItsBytes() throws IOException {
    try (GatewayOverSocket gateway = GatewayOverSocket.serving()) {
      String data = "é".repeat(LINE_CHARACTERS);
      gateway.proxy.primary.rows = Collections.nCopies(2, data);

      Answer answer = answer(write(gateway, data));

      assertTrue(answer.isDone());
      assertEquals(gateway.proxy.primary.rows, answer.rows());
    }
  }

  /** Guards against a statement that waits without end for a gateway that does not read. */
  @Test
  void statementThatFrozenGatewayDoesNotReadEndsInTime() throws IOException {
    try (GatewayOverSocket gateway = GatewayOverSocket.frozen()) {
      String data = "x".repeat(8 * LINE_CHARACTERS);

      RelayResult result = assertTimeoutPreemptively(AT_ONCE, () -> write(gateway, data));

      assertInstanceOf(RelayResult.Unknown.class, result);
    }
  }

  /** Guards against a statement that can't be relayed together with what belongs to it. */
  @Test
  void largestStatementIsRelayedWithItsShapeAndValues() throws IOException {
    try (GatewayOverSocket gateway = GatewayOverSocket.serving()) {
      String data = "é".repeat(LINE_CHARACTERS);
      ForwardedStatement execute =
          new ForwardedStatement(
              new StatementId("w"), data, true, Optional.of(new PreparedShape(true, data)), data);

      assertTrue(answer(run(gateway, execute, Map.of("a", data, "b", data))).isDone());
    }
  }

  private static RelayResult write(GatewayOverSocket gateway, String data) {
    ForwardedStatement write =
        new ForwardedStatement(new StatementId("w"), "WRITE a " + data, true, Optional.empty(), "");
    return run(gateway, write, Map.of());
  }

  private static RelayResult run(
      GatewayOverSocket gateway, ForwardedStatement statement, Map<String, String> values) {
    Route route =
        gateway.proxy.fleet.snapshot().configuration().get().route(ServingFixture.LATEST).get();
    RelayContext context =
        new RelayContext(
            route,
            Optional.of(new TeamId("crew")),
            Optional.empty(),
            1,
            values,
            Position.NONE,
            Duration.ZERO);
    return gateway.link.execute(
        new RelayRequest.RunStatement(context, statement), Instant.now().plus(DEADLINE));
  }

  private static Answer answer(RelayResult result) {
    return assertInstanceOf(RelayResult.Replied.class, result).reply().answer();
  }

  private static TeamLimits failing() {
    return _ -> {
      throw new IllegalStateException("scripted");
    };
  }
}

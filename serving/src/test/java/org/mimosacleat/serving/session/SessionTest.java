package org.mimosacleat.serving.session;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.connection.TransactionStatus;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.serving.ServingFixture;
import org.mimosacleat.serving.endpoint.EndpointCommand;
import org.mimosacleat.serving.fleet.EndpointRole;
import org.mimosacleat.serving.relay.GatewayOrder;
import org.mimosacleat.serving.relay.Relay;
import org.mimosacleat.serving.statement.Answer;
import org.mimosacleat.serving.statement.PreparedShape;
import org.mimosacleat.serving.statement.StatementBody;

class SessionTest {
  private final ServingFixture proxy = new ServingFixture();

  @Test
  void firstReadOfTransactionDoesNotRunAfterRefusedBegin() {
    Session session = proxy.session(ServingFixture.OWN);
    proxy.write(session);
    proxy.begin(session, true);

    Answer answer = proxy.read(session);

    assertTrue(answer.isDone());
    assertEquals(List.of(), proxy.replica.ran);
    assertEquals(List.of("WRITE a 1", "in transaction: READ a"), proxy.primary.ran);
  }

  @Test
  void readOfOwnWriteIsServedByReplicaThatHasIt() {
    Session session = proxy.session(ServingFixture.OWN);
    proxy.write(session);
    proxy.replica.number = proxy.primary.number;

    Answer answer = proxy.read(session);

    assertEquals(Optional.of("signed by r"), answer.signature());
    assertTrue(
        proxy.replica.commands.contains(
            new EndpointCommand.Run(
                new org.mimosacleat.serving.statement.StatementId("s2"),
                Optional.of(proxy.primary.position()),
                "READ a")));
  }

  /** Pattern: the primary is dark and can't be replaced yet; clients must not wait for nothing. */
  @Test
  void writeIsRefusedAtOnceWhilePrimaryIsNotReached() {
    Session session = proxy.session(ServingFixture.OWN);
    proxy.groupState().markUnreachable(proxy.primary.id());
    Instant before = proxy.clock.instant();

    Answer answer = proxy.write(session);

    assertEquals(ErrorKind.UNAVAILABLE, answer.failure().orElseThrow().kind());
    assertEquals(before, proxy.clock.instant());
  }

  /** Guards against a connection that ends without an answer, because its thread has ended. */
  @Test
  void unexpectedExceptionIsAnsweredAsUncertain() {
    Session session = new ServingFixture(new FailingRelay()).session(ServingFixture.OWN);

    Answer answer = proxy.write(session);

    assertEquals(ErrorKind.INTERNAL, answer.failure().orElseThrow().kind());
    assertEquals(TransactionStatus.IDLE, answer.status());
  }

  @Test
  void unexpectedExceptionFailsTheTransaction() {
    Session session = new ServingFixture(new FailingRelay()).session(ServingFixture.OWN);
    proxy.begin(session, false);

    Answer answer = proxy.write(session);

    assertEquals(ErrorKind.INTERNAL, answer.failure().orElseThrow().kind());
    assertEquals(TransactionStatus.FAILED, answer.status());
    assertEquals(ErrorKind.TRANSACTION_LOST, proxy.commit(session).failure().orElseThrow().kind());
  }

  @Test
  void readWithoutKnownPositionRunsInTransactionAtPrimary() {
    Session session = proxy.session(ServingFixture.OWN);

    proxy.read(session);

    assertEquals(List.of("in transaction: READ a"), proxy.primary.ran);
  }

  @Test
  void readIsNotRunAtFormerPrimary() {
    Session session = proxy.session(ServingFixture.LATEST);
    proxy.primary.role = EndpointRole.REPLICA;

    Answer answer = proxy.read(session);

    assertTrue(answer.hasFailed(ErrorKind.NOT_PRIMARY));
    assertEquals(List.of(), proxy.primary.ran);
    assertFalse(proxy.suspicions.isEmpty());
  }

  @Test
  void commitIsSentAgainWhileEndpointIsBusy() {
    Session session = proxy.session(ServingFixture.LATEST);
    proxy.begin(session, false);
    proxy.write(session);
    proxy.primary.refuse(ErrorKind.OVERLOADED, ErrorKind.OVERLOADED);

    Answer answer = proxy.commit(session);

    assertTrue(answer.isDone());
    assertEquals(TransactionStatus.IDLE, session.status());
    assertEquals(List.of("in transaction: WRITE a 1", "in transaction: COMMIT"), proxy.primary.ran);
  }

  @Test
  void writeWhoseAnswerIsLostHasUnknownOutcomeAndIsNotRepeated() {
    Session session = proxy.session(ServingFixture.LATEST);
    proxy.primary.breaksAfterRun = true;

    Answer answer = proxy.write(session);

    assertTrue(answer.hasFailed(ErrorKind.CONNECTION_LOST));
    assertEquals(List.of("WRITE a 1"), proxy.primary.ran);
  }

  @Test
  void commitWhoseAnswerIsLostHasUnknownOutcome() {
    Session session = proxy.session(ServingFixture.LATEST);
    proxy.begin(session, false);
    proxy.write(session);
    proxy.primary.breaksAfterRun = true;

    assertTrue(proxy.commit(session).hasFailed(ErrorKind.CONNECTION_LOST));
  }

  @Test
  void lostCommitOfTransactionWithoutWritesLosesTransaction() {
    Session session = proxy.session(ServingFixture.LATEST);
    proxy.begin(session, false);
    proxy.read(session);
    proxy.primary.breaksAfterRun = true;

    assertTrue(proxy.commit(session).hasFailed(ErrorKind.TRANSACTION_LOST));
  }

  @Test
  void statementLostBeforeCommitLosesTransaction() {
    Session session = proxy.session(ServingFixture.LATEST);
    proxy.begin(session, false);
    proxy.write(session);
    proxy.primary.breaksAfterRun = true;

    Answer answer = proxy.write(session);

    assertTrue(answer.hasFailed(ErrorKind.TRANSACTION_LOST));
    assertEquals(TransactionStatus.FAILED, answer.status());
  }

  @Test
  void writeIsRefusedAfterWaitLimitWithoutPrimary() {
    Session session = proxy.session(ServingFixture.LATEST);
    proxy.canUsePrimaries = false;
    proxy.clock.advance(Duration.ofSeconds(1));

    long before = System.nanoTime();
    Answer answer = proxy.write(session);

    assertTrue(answer.hasFailed(ErrorKind.UNAVAILABLE));
    assertTrue(Duration.ofNanos(System.nanoTime() - before).toMillis() < 900);
    assertEquals(List.of(), proxy.primary.ran);
  }

  @Test
  void valuesOfAnotherSessionAreResetBeforeStatementRuns() {
    Session first = proxy.session(ServingFixture.LATEST);
    proxy.execute(first, new StatementBody.SetValue("zone", "north"), "SET zone north");
    proxy.write(first);
    Session second = proxy.session(ServingFixture.LATEST);

    proxy.write(second);

    List<EndpointCommand> commands = proxy.primary.commands;
    assertEquals(new EndpointCommand.SetValue("zone", "north"), commands.getFirst());
    assertEquals(new EndpointCommand.Reset(), commands.get(commands.size() - 2));
  }

  @Test
  void sessionsShareStatementsOfOneShapeUnderDifferentNames() {
    PreparedShape shape = new PreparedShape(true, "q2c");
    for (String name : List.of("s1", "mine")) {
      Session session = proxy.session(ServingFixture.LATEST);
      proxy.execute(session, new StatementBody.Prepare(name, shape), "PREPARE");
      proxy.execute(session, new StatementBody.Execute(name, "a 1"), "EXEC");
    }

    long prepared =
        proxy.primary.commands.stream().filter(EndpointCommand.Prepare.class::isInstance).count();
    assertEquals(1, prepared);
    assertEquals(2, proxy.primary.ran.size());
  }

  @Test
  void unknownPreparedNameIsRefusedAndNothingRuns() {
    Session session = proxy.session(ServingFixture.LATEST);

    Answer answer = proxy.execute(session, new StatementBody.Execute("s1", ""), "EXEC s1");

    assertTrue(answer.hasFailed(ErrorKind.UNKNOWN_STATEMENT));
    assertEquals(List.of(), proxy.primary.commands);
  }

  @Test
  void readOnlyTransactionMayNotWrite() {
    Session session = proxy.session(ServingFixture.LATEST);
    proxy.begin(session, true);

    Answer answer = proxy.write(session);

    assertTrue(answer.hasFailed(ErrorKind.NOT_PRIMARY));
    assertEquals(TransactionStatus.FAILED, answer.status());
    assertEquals(List.of(), proxy.primary.ran);
  }

  @Test
  void closedSessionRollsBack() {
    Session session = proxy.session(ServingFixture.LATEST);
    proxy.begin(session, false);
    proxy.write(session);

    session.close();

    assertEquals(new EndpointCommand.Rollback(), proxy.primary.commands.getLast());
  }

  /** A relay with a fault. */
  private static final class FailingRelay implements Relay {
    @Override
    public GatewayOrder gatewaysOf(GroupId group, Optional<TeamId> team) {
      throw new IllegalStateException("unexpected");
    }

    @Override
    public boolean isIsolated() {
      return false;
    }
  }
}

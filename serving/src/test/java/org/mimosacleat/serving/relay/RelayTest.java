package org.mimosacleat.serving.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.connection.TransactionStatus;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.serving.ServingFixture;
import org.mimosacleat.serving.session.Session;
import org.mimosacleat.serving.statement.Answer;
import org.mimosacleat.serving.statement.ForwardedStatement;
import org.mimosacleat.serving.statement.StatementId;

class RelayTest {
  private final FakeGateway first = new FakeGateway();
  private final FakeGateway second = new FakeGateway();
  private final FakeRelay relay = new FakeRelay(first, second);
  private final ServingFixture proxy = new ServingFixture(relay);

  @Test
  void statementsRunAtGatewayAndNotOnOwnConnections() {
    Session session = proxy.session(ServingFixture.LATEST);

    assertEquals("signed by p", proxy.write(session).signature().orElseThrow());
    assertTrue(proxy.read(session).isDone());

    assertEquals(List.of("WRITE a 1", "in transaction: READ a"), first.proxy.primary.ran);
    assertEquals(List.of(), proxy.primary.commands);
  }

  @Test
  void readSeesOwnWriteThatRanAtAnotherGateway() {
    Session session = proxy.session(ServingFixture.OWN);
    Session atSecond = second.proxy.session(ServingFixture.OWN);
    second.proxy.write(atSecond);
    proxy.write(session);
    first.leaving = true;

    proxy.read(session);

    RelayRequest.RunStatement read = (RelayRequest.RunStatement) second.requests.getFirst();
    assertEquals(first.proxy.primary.position(), read.context().lastWrite());
  }

  @Test
  void writeWithoutReplyIsUncertainAndNotRepeated() {
    first.losesReplies = true;

    Answer answer = proxy.write(proxy.session(ServingFixture.LATEST));

    assertTrue(answer.hasFailed(ErrorKind.CONNECTION_LOST));
    assertEquals(List.of(), second.requests);
  }

  @Test
  void readWithoutReplyIsTriedAtNextGateway() {
    first.losesReplies = true;

    assertTrue(proxy.read(proxy.session(ServingFixture.LATEST)).isDone());

    assertEquals(1, second.requests.size());
  }

  @Test
  void leavingGatewayIsPassedOver() {
    first.leaving = true;

    assertTrue(proxy.write(proxy.session(ServingFixture.LATEST)).isDone());

    assertEquals(List.of("WRITE a 1"), second.proxy.primary.ran);
  }

  /** Pattern: a fleet returns from a power failure, and the gateways are not up yet. */
  @Test
  void statementWaitsForGatewayAndDoesNotConnectByItself() {
    first.leaving = true;
    second.leaving = true;

    Answer answer = proxy.write(proxy.session(ServingFixture.LATEST));

    assertTrue(answer.hasFailed(ErrorKind.UNAVAILABLE));
    assertEquals(List.of(), proxy.primary.commands);
    assertTrue(first.requests.size() > 1);
  }

  @Test
  void isolatedProxyUsesItsOwnConnections() {
    first.leaving = true;
    second.leaving = true;
    relay.isolated = true;

    assertTrue(proxy.write(proxy.session(ServingFixture.LATEST)).isDone());

    assertEquals(List.of("WRITE a 1"), proxy.primary.ran);
  }

  @Test
  void transactionStaysWithItsGateway() {
    Session session = proxy.session(ServingFixture.LATEST);
    proxy.begin(session, false);
    proxy.write(session);
    relay.gateways.removeFirst();

    proxy.read(session);
    assertTrue(proxy.commit(session).isDone());

    assertEquals(
        List.of("in transaction: WRITE a 1", "in transaction: READ a", "in transaction: COMMIT"),
        first.proxy.primary.ran);
  }

  @Test
  void transactionOfLostGatewayHasFailedAndCommitsNothing() {
    Session session = proxy.session(ServingFixture.LATEST);
    proxy.begin(session, false);
    proxy.write(session);
    first.reconnect();
    first.losesReplies = true;

    Answer answer = proxy.read(session);

    assertTrue(answer.hasFailed(ErrorKind.TRANSACTION_LOST));
    assertEquals(TransactionStatus.FAILED, answer.status());
    assertTrue(proxy.commit(session).hasFailed(ErrorKind.TRANSACTION_LOST));
  }

  /** Pattern: a clock is stepped or a machine suspended, and the store is too slow for a lease. */
  @Test
  void gatewayWithoutLeaseLeavesWhatNeedsThePrimaryToTheNext() {
    first.proxy.canUsePrimaries = false;
    Session session = proxy.session(ServingFixture.LATEST);

    assertTrue(proxy.write(session).isDone());
    proxy.begin(session, false);
    assertTrue(proxy.read(session).isDone());
    assertTrue(proxy.commit(session).isDone());

    assertEquals(3, second.proxy.primary.ran.size());
    assertEquals(proxy.clock.instant(), first.proxy.clock.instant());
  }

  @Test
  void gatewayWithoutLeaseStillRunsReadsThatReplicasCanServe() {
    first.proxy.canUsePrimaries = false;
    first
        .proxy
        .groupState()
        .recordPosition(
            first.proxy.primary.id(), first.proxy.clock.instant(), first.proxy.primary.position());

    assertTrue(proxy.read(proxy.session(ServingFixture.OWN)).isDone());

    assertEquals(List.of(), second.requests);
  }

  /** Pattern: the gateway restarts in the middle of a transaction, and a new connection is open. */
  @Test
  void transactionDoesNotContinueOnNewConnection() {
    Session session = proxy.session(ServingFixture.LATEST);
    proxy.begin(session, false);
    proxy.write(session);
    first.reconnect();

    assertTrue(proxy.write(session).hasFailed(ErrorKind.TRANSACTION_LOST));
    assertTrue(proxy.commit(session).hasFailed(ErrorKind.TRANSACTION_LOST));

    assertFalse(first.proxy.primary.ran.contains("in transaction: COMMIT"));
  }

  @Test
  void statementOfUnknownTransactionIsNotRun() {
    RelayContext context = proxy.relayContext(ServingFixture.LATEST);
    ForwardedStatement write =
        new ForwardedStatement(new StatementId("w"), "WRITE a 1", true, Optional.empty(), "");

    RelayResult result =
        first
            .connection()
            .get()
            .execute(
                new RelayRequest.RunInTransaction(7, false, false, context, write),
                proxy.clock.instant());

    Answer answer = ((RelayResult.Replied) result).reply().answer();
    assertTrue(answer.hasFailed(ErrorKind.TRANSACTION_LOST));
    assertEquals(List.of(), first.proxy.primary.ran);
  }

  @Test
  void commitWithoutReplyIsUncertain() {
    Session session = proxy.session(ServingFixture.LATEST);
    proxy.begin(session, false);
    proxy.write(session);
    first.losesReplies = true;

    assertTrue(proxy.commit(session).hasFailed(ErrorKind.CONNECTION_LOST));
  }

  @Test
  void commitOfTransactionThatOnlyReadIsNotUncertain() {
    Session session = proxy.session(ServingFixture.LATEST);
    proxy.begin(session, false);
    proxy.read(session);
    first.losesReplies = true;

    assertTrue(proxy.commit(session).hasFailed(ErrorKind.TRANSACTION_LOST));
  }

  @Test
  void transactionMayBeginAtNextGatewayBecauseTheFirstRollsItBack() {
    Session session = proxy.session(ServingFixture.LATEST);
    proxy.begin(session, false);
    first.losesReplies = true;

    assertTrue(proxy.write(session).isDone());
    assertTrue(proxy.commit(session).isDone());

    assertTrue(first.requests.getLast() instanceof RelayRequest.RollBack);
    assertEquals(
        List.of("in transaction: WRITE a 1", "in transaction: COMMIT"), second.proxy.primary.ran);
  }

  @Test
  void endOfClientSessionRollsBackAtGateway() {
    Session session = proxy.session(ServingFixture.LATEST);
    proxy.begin(session, false);
    proxy.write(session);

    session.close();

    assertTrue(first.requests.getLast() instanceof RelayRequest.RollBack);
  }
}

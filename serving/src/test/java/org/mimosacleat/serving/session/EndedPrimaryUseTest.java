package org.mimosacleat.serving.session;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.connection.TransactionStatus;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.serving.FakeEndpoint;
import org.mimosacleat.serving.ServingFixture;
import org.mimosacleat.serving.fleet.Configuration;
import org.mimosacleat.serving.fleet.GroupSettings;
import org.mimosacleat.serving.fleet.Route;
import org.mimosacleat.serving.fleet.Teams;
import org.mimosacleat.serving.relay.RelayContext;
import org.mimosacleat.serving.relay.RelayRequest;
import org.mimosacleat.serving.routing.ReplacementKind;
import org.mimosacleat.serving.statement.Answer;
import org.mimosacleat.serving.statement.ClientStatement;
import org.mimosacleat.serving.statement.ForwardedStatement;
import org.mimosacleat.serving.statement.PreparedShape;
import org.mimosacleat.serving.statement.StatementBody;
import org.mimosacleat.serving.statement.StatementId;
import org.mimosacleat.serving.version.StoreEra;
import org.mimosacleat.serving.version.StoreVersion;

/** The use of a primary ends while a transaction is open there, or while a statement runs there. */
class EndedPrimaryUseTest {
  private static final long TRANSACTION = 7;

  private final ServingFixture proxy = new ServingFixture();
  private final Session session = proxy.session(ServingFixture.LATEST);

  private void openTransaction() {
    proxy.begin(session, false);
    assertTrue(proxy.write(session).isDone());
  }

  private static ErrorKind kind(Answer answer) {
    return answer.failure().orElseThrow().kind();
  }

  private boolean hasRun(String text) {
    return proxy.primary.ran.stream().anyMatch(ran -> ran.endsWith(text));
  }

  private void follow(FakeEndpoint primary, long term, ReplacementKind replacement, long version) {
    proxy
        .groupState()
        .followRecord(
            Optional.of(primary.id()),
            new Term(term),
            replacement,
            new StoreVersion(new StoreEra(1), version));
  }

  private void assertRolledBack(Answer answer, TransactionStatus status) {
    assertEquals(ErrorKind.TRANSACTION_LOST, kind(answer));
    assertEquals(status, answer.status());
    assertFalse(hasRun("COMMIT"));
  }

  /** Guards against a commit that the former primary acknowledges after a promotion. */
  @Test
  void commitIsNotSentOnceTheLeaseHasEnded() {
    openTransaction();
    proxy.canUsePrimaries = false;

    assertRolledBack(proxy.commit(session), TransactionStatus.IDLE);
  }

  /** Guards against the same commit after the lease was renewed and the records were read. */
  @Test
  void commitIsNotSentOnceAnotherPrimaryIsRecorded() {
    openTransaction();
    follow(proxy.replica, 2, ReplacementKind.NONE, 2);

    assertRolledBack(proxy.commit(session), TransactionStatus.IDLE);
  }

  /** Guards against a commit after this proxy has confirmed that it uses the primary no longer. */
  @Test
  void commitIsNotSentWhileUnreachablePrimaryIsReplaced() {
    openTransaction();
    follow(proxy.primary, 1, ReplacementKind.UNPLANNED, 2);

    assertRolledBack(proxy.commit(session), TransactionStatus.IDLE);
  }

  @Test
  void openTransactionGoesOnUntilLeavingPrimaryIsFenced() {
    openTransaction();
    follow(proxy.primary, 1, ReplacementKind.PLANNED, 2);

    assertTrue(proxy.commit(session).isDone());
  }

  /** Guards against a write within a transaction that can't be committed any longer. */
  @Test
  void statementIsNotSentOnceTheLeaseHasEnded() {
    openTransaction();
    proxy.canUsePrimaries = false;
    int ranBefore = proxy.primary.ran.size();

    assertRolledBack(proxy.write(session), TransactionStatus.FAILED);
    assertEquals(ranBefore, proxy.primary.ran.size());
  }

  /** Guards against a COMMIT that is sent again after the lease has ended between two attempts. */
  @Test
  void refusedCommitIsNotRepeatedOnceTheLeaseHasEnded() {
    openTransaction();
    proxy.primary.refuse(ErrorKind.OVERLOADED);
    proxy.primary.beforeRefusal = () -> proxy.canUsePrimaries = false;

    assertRolledBack(proxy.commit(session), TransactionStatus.IDLE);
  }

  /** Guards against a false success, and a false promise: the commit may be lost or kept. */
  @Test
  void commitAnsweredAfterTheEndOfTheLeaseIsUncertain() {
    openTransaction();
    proxy.primary.beforeAnswer = () -> proxy.canUsePrimaries = false;

    Answer answer = proxy.commit(session);

    assertEquals(ErrorKind.CONNECTION_LOST, kind(answer));
    assertEquals(TransactionStatus.IDLE, answer.status());
  }

  /** Guards against the same for a write outside a transaction. */
  @Test
  void writeAnsweredAfterTheEndOfTheLeaseIsUncertain() {
    proxy.primary.beforeAnswer = () -> proxy.canUsePrimaries = false;

    assertEquals(ErrorKind.CONNECTION_LOST, kind(proxy.write(session)));
  }

  /** Guards against a read that misses what a new primary has acknowledged. */
  @Test
  void readAnsweredAfterTheEndOfTheLeaseIsNotReturned() {
    proxy.primary.beforeAnswer = () -> proxy.canUsePrimaries = false;

    assertEquals(ErrorKind.UNAVAILABLE, kind(proxy.read(session)));
  }

  /** Guards against the same for the first statement of a transaction. */
  @Test
  void transactionThatBeganAsTheLeaseEndedIsNotOpen() {
    proxy.begin(session, false);
    proxy.primary.beforeAnswer = () -> proxy.canUsePrimaries = false;

    assertEquals(ErrorKind.UNAVAILABLE, kind(proxy.read(session)));
  }

  /** Guards against reads of a stated age that a former primary's positions let through. */
  @Test
  void positionsOfFormerPrimaryAreNotRecorded() {
    openTransaction();
    proxy.primary.beforeAnswer = () -> proxy.canUsePrimaries = false;
    proxy.clock.advance(Duration.ofSeconds(1));

    proxy.read(session);

    assertEquals(
        Optional.empty(), proxy.groupState().earliestPositionIncluding(proxy.clock.instant()));
  }

  /** Guards against a commit that another proxy relays to this one after the end of its lease. */
  @Test
  void relayedCommitIsNotSentOnceTheLeaseHasEnded() {
    RelayedStatements relayed = proxy.sessions.openRelayed();
    RelayContext context = proxy.relayContext(ServingFixture.LATEST);
    ForwardedStatement write = statement("WRITE a 1", new StatementBody.Write(), true);
    ForwardedStatement commit = statement("COMMIT", new StatementBody.Commit(), false);
    Answer written =
        relayed
            .register(new RelayRequest.RunInTransaction(TRANSACTION, true, false, context, write))
            .get()
            .answer();
    assertTrue(written.isDone());
    proxy.canUsePrimaries = false;

    Answer answer =
        relayed.register(new RelayRequest.Commit(TRANSACTION, context, commit)).get().answer();

    assertRolledBack(answer, TransactionStatus.IDLE);
  }

  /** Guards against the same for a write of a prepared statement. */
  @Test
  void preparedWriteAnsweredAfterTheEndOfTheLeaseIsUncertain() {
    PreparedShape shape = new PreparedShape(true, "a");
    proxy.execute(session, new StatementBody.Prepare("p1", shape), "PREPARE p1 WRITE a");
    proxy.primary.beforeAnswer = () -> proxy.canUsePrimaries = false;

    Answer answer = proxy.execute(session, new StatementBody.Execute("p1", "1"), "EXEC p1 1");

    assertEquals(ErrorKind.CONNECTION_LOST, kind(answer));
  }

  /** Guards against the same for a write that another proxy relays to this one. */
  @Test
  void relayedWriteAnsweredAfterTheEndOfTheLeaseIsUncertain() {
    RelayContext context = proxy.relayContext(ServingFixture.LATEST);
    ForwardedStatement write = statement("WRITE a 1", new StatementBody.Write(), true);
    proxy.primary.beforeAnswer = () -> proxy.canUsePrimaries = false;

    Answer answer =
        proxy
            .sessions
            .openRelayed()
            .register(new RelayRequest.RunStatement(context, write))
            .get()
            .answer();

    assertEquals(ErrorKind.CONNECTION_LOST, kind(answer));
  }

  /** Guards against a write that is sent again after the lease has ended between two attempts. */
  @Test
  void refusedWriteIsNotRepeatedOnceTheLeaseHasEnded() {
    proxy.primary.refuse(ErrorKind.OVERLOADED);
    proxy.primary.beforeRefusal = () -> proxy.canUsePrimaries = false;

    assertFalse(proxy.write(session).isDone());

    assertFalse(hasRun("WRITE a 1"));
  }

  /** The commit belongs to the group in which its transaction has written. */
  @Test
  void transactionEndsInItsGroupAlthoughItsDatabaseHasMoved() {
    openTransaction();
    moveDatabase(new GroupId("another"));

    assertTrue(proxy.commit(session).isDone());

    assertEquals(ErrorKind.UNAVAILABLE, kind(proxy.write(session)));
    assertEquals(1, proxy.primary.ran.stream().filter(ran -> ran.contains("WRITE")).count());
  }

  private void moveDatabase(GroupId group) {
    Route before = proxy.relayContext(ServingFixture.LATEST).route();
    Route moved =
        new Route(
            before.database(),
            group,
            before.readConsistency(),
            before.statementTimeout(),
            before.latencyObjective(),
            before.priority(),
            before.openToAll());
    proxy.fleet.applyIfNewer(
        new Configuration(
            2,
            Map.of(ServingFixture.LATEST, moved),
            Map.of(group, new GroupSettings(group, 1, 0)),
            Duration.ofSeconds(3),
            Teams.NOT_CONFIGURED));
  }

  private static ForwardedStatement statement(String text, StatementBody body, boolean writes) {
    return ForwardedStatement.plain(new ClientStatement(new StatementId("s"), text, body), writes);
  }
}

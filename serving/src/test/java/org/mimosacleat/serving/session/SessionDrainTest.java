package org.mimosacleat.serving.session;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.connection.TransactionStatus;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.serving.ServingFixture;
import org.mimosacleat.serving.statement.Answer;

/** A proxy refuses at once what would still run when its process ends. */
class SessionDrainTest {
  private final ServingFixture proxy = new ServingFixture();
  private final Session session = proxy.session(ServingFixture.LATEST);

  @BeforeEach
  void startDrain() {
    proxy.drain.start();
  }

  private static ErrorKind kind(Answer answer) {
    return answer.failure().orElseThrow().kind();
  }

  @Test
  void servesNewWorkInTheFirstHalfOfTheGracePeriod() {
    proxy.clock.advance(Duration.ofMillis(2_999));

    assertTrue(proxy.write(session).isDone());
    assertTrue(proxy.begin(session, false).isDone());
  }

  /** Guards against requests that are accepted shortly before the process ends and then cut. */
  @Test
  void refusesNewWorkAfterwards() {
    proxy.clock.advance(Duration.ofSeconds(3));

    assertEquals(ErrorKind.SHUTTING_DOWN, kind(proxy.read(session)));
    assertEquals(ErrorKind.SHUTTING_DOWN, kind(proxy.write(session)));
    assertEquals(ErrorKind.SHUTTING_DOWN, kind(proxy.begin(session, true)));
    Either<Failure, Session> opened = proxy.sessions.open(ServingFixture.LATEST, Optional.empty());
    assertEquals(ErrorKind.SHUTTING_DOWN, opened.getLeft().kind());
    assertEquals(List.of(), proxy.primary.ran);
  }

  @Test
  void openTransactionEndsNormallyIfThereIsTime() {
    proxy.begin(session, false);
    proxy.write(session);
    proxy.clock.advance(Duration.ofMillis(3_800));

    assertTrue(proxy.write(session).isDone());
    assertTrue(proxy.commit(session).isDone());
  }

  /** Guards against a commit that is cut: the client would not know whether it took effect. */
  @Test
  void commitThatMightNotFinishIsRolledBack() {
    proxy.begin(session, false);
    proxy.write(session);
    proxy.clock.advance(Duration.ofSeconds(5));

    Answer answer = proxy.commit(session);

    assertEquals(ErrorKind.TRANSACTION_LOST, kind(answer));
    assertEquals(TransactionStatus.IDLE, answer.status());
    assertEquals(List.of("in transaction: WRITE a 1"), proxy.primary.ran);
  }

  @Test
  void statementOfTransactionThatMightNotFinishFailsTheTransaction() {
    proxy.begin(session, false);
    proxy.write(session);
    proxy.clock.advance(Duration.ofSeconds(5));

    Answer answer = proxy.write(session);

    assertEquals(ErrorKind.TRANSACTION_LOST, kind(answer));
    assertEquals(TransactionStatus.FAILED, answer.status());
  }

  /** Guards against a transaction that a client was told has failed and that goes on as open. */
  @Test
  void transactionThatTheDrainRolledBackStaysFailed() {
    proxy.begin(session, false);
    proxy.write(session);
    proxy.clock.advance(Duration.ofSeconds(5));
    proxy.write(session);

    assertEquals(TransactionStatus.FAILED, session.status());
  }
}

package org.mimosacleat.serving.session;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.mimosacleat.core.connection.TransactionStatus;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.serving.endpoint.BorrowedConnection;
import org.mimosacleat.serving.endpoint.CommandResult;
import org.mimosacleat.serving.endpoint.EndpointCommand;
import org.mimosacleat.serving.endpoint.EndpointPool;
import org.mimosacleat.serving.fleet.ReadConsistency;
import org.mimosacleat.serving.fleet.Route;
import org.mimosacleat.serving.routing.Target;
import org.mimosacleat.serving.statement.Answer;
import org.mimosacleat.serving.statement.ForwardedStatement;

/**
 * The open transaction of a session. It begins on an endpoint with its first statement, so that a
 * client that is idle after BEGIN holds no connection, and keeps that connection until its end. At
 * the primary it goes on only while this proxy may use the primary, which each step checks.
 */
final class OpenTransaction implements ClientTransaction {
  private static final Duration ROLLBACK_TIMEOUT = Duration.ofMillis(500);

  private final SessionDependencies dependencies;
  private final SessionState session;
  private final Route route;
  private final boolean readOnly;
  private final Attempt attempt;
  private BorrowedConnection connection;
  private boolean onPrimary;
  private boolean wrote;
  private boolean failed;

  OpenTransaction(
      SessionDependencies dependencies, SessionState session, Route route, boolean readOnly) {
    this.dependencies = dependencies;
    this.session = session;
    this.route = route;
    this.readOnly = readOnly;
    this.attempt = new Attempt(dependencies, session, route);
  }

  @Override
  public TransactionStatus status() {
    return failed ? TransactionStatus.FAILED : TransactionStatus.IN_TRANSACTION;
  }

  @Override
  public Answer run(ForwardedStatement statement) {
    if (failed) {
      return refuse(ErrorKind.PROTOCOL_VIOLATION, "the transaction has failed; roll it back");
    }
    if (readOnly && statement.writes()) {
      return refuse(ErrorKind.NOT_PRIMARY, "cannot write in a read-only transaction");
    }
    Answer answer = connection == null ? beginWith(statement) : runNext(statement);
    if (!answer.isDone()) {
      failed = true;
      return answer.withStatus(TransactionStatus.FAILED);
    }
    wrote = wrote || statement.writes();
    return answer.withStatus(TransactionStatus.IN_TRANSACTION);
  }

  @Override
  public Answer commit(ForwardedStatement statement) {
    if (failed) {
      rollback();
      return Answer.failed(
          new Failure(
              ErrorKind.TRANSACTION_LOST,
              "the transaction had failed; rolled back instead of committed"),
          TransactionStatus.IDLE);
    }
    Answer answer = connection == null ? beginWith(statement) : sendCommit(statement);
    if (connection != null && answer.status() != TransactionStatus.IDLE) {
      rollback();
    }
    releaseConnection();
    return answer.withStatus(TransactionStatus.IDLE);
  }

  @Override
  public void abort() {
    failed = true;
    rollback();
  }

  @Override
  public void rollback() {
    if (connection == null) {
      return;
    }
    rollBackOn(connection);
    connection = null;
  }

  private Answer refuse(ErrorKind kind, String detail) {
    failed = true;
    return Answer.failed(new Failure(kind, detail), TransactionStatus.FAILED);
  }

  /** Begins on an endpoint; this is repeated until the first statement has succeeded there. */
  private Answer beginWith(ForwardedStatement statement) {
    Either<Failure, Void> admission = dependencies.admit(session);
    if (admission.isLeft()) {
      return Answer.failed(admission.getLeft(), TransactionStatus.FAILED);
    }
    Instant arrivedAt = dependencies.clock().instant();
    Instant deadline = arrivedAt.plus(route.statementTimeout());
    return dependencies
        .retryLoop()
        .run(
            route,
            arrivedAt,
            avoided ->
                canUseReplica()
                    ? dependencies
                        .chooser()
                        .forRead(route, session.team(), attempt.lastWrite(), arrivedAt, avoided)
                    : dependencies.chooser().forPrimary(route.group()),
            target -> begin(statement, target, deadline));
  }

  private boolean canUseReplica() {
    return readOnly && !(route.readConsistency() instanceof ReadConsistency.Latest);
  }

  /**
   * Begins on the target and runs the first statement. The statement is sent only once BEGIN has
   * succeeded: it would run outside a transaction if BEGIN were refused.
   */
  private AttemptOutcome begin(ForwardedStatement statement, Target target, Instant deadline) {
    EndpointPool pool = target.usedPool().orElseThrow();
    Optional<Position> after =
        target instanceof Target.AfterPosition(EndpointPool same, Position position)
            ? Optional.of(position)
            : Optional.empty();
    boolean isPrimary = after.isEmpty();
    Either<AttemptOutcome, BorrowedConnection> borrowResult =
        attempt.borrow(pool, deadline, isPrimary);
    if (borrowResult.isLeft()) {
      return borrowResult.getLeft();
    }
    BorrowedConnection borrowed = borrowResult.get();
    List<EndpointCommand> begin = List.of(new EndpointCommand.Begin(!isPrimary, after));
    CommandResult begun = attempt.run(borrowed, Optional.empty(), begin, deadline);
    if (!(begun instanceof CommandResult.Answered answered)) {
      return handleUnanswered(borrowed, isPrimary, begun);
    }
    if (!answered.last().isDone()) {
      borrowed.release();
      return retryOrFail(borrowed.pool(), after, answered.last().failure().orElseThrow());
    }
    if (isPrimary && !attempt.mayContinueAt(pool)) {
      return retryElsewhere(borrowed);
    }
    List<EndpointCommand> first = List.of(statement.command(Optional.empty()));
    CommandResult result = attempt.run(borrowed, statement.shape(), first, deadline);
    return result instanceof CommandResult.Answered ran
        ? finishBegin(borrowed, after, ran)
        : handleUnanswered(borrowed, isPrimary, result);
  }

  private AttemptOutcome finishBegin(
      BorrowedConnection borrowed, Optional<Position> after, CommandResult.Answered answered) {
    Answer answer = answered.last();
    if (answer.isDone() && after.isEmpty() && !attempt.isStillPrimary(borrowed.pool())) {
      return retryElsewhere(borrowed);
    }
    if (answer.isDone()) {
      connection = borrowed;
      onPrimary = after.isEmpty();
      recordPosition(answered, answer);
      return new AttemptOutcome.Final(answer);
    }
    rollBackOn(borrowed);
    return retryOrFail(borrowed.pool(), after, answer.failure().orElseThrow());
  }

  /** Begins again at the next primary: this proxy may no longer use the present one. */
  private static AttemptOutcome retryElsewhere(BorrowedConnection borrowed) {
    borrowed.discard();
    Failure ended = Attempt.useEnded(ErrorKind.UNAVAILABLE, borrowed.pool());
    return Attempt.retry(ended, borrowed.pool(), false);
  }

  private AttemptOutcome retryOrFail(EndpointPool pool, Optional<Position> after, Failure failure) {
    boolean isPrimary = after.isEmpty();
    return switch (failure.kind()) {
      case NOT_PRIMARY -> {
        attempt.suspectPrimary(pool, failure.detail());
        yield Attempt.retry(failure, pool, false);
      }
      case REPLICA_BEHIND -> {
        after.ifPresent(pool.health()::recordMissingPosition);
        yield Attempt.retry(failure, pool, !isPrimary);
      }
      case OVERLOADED -> {
        pool.health().recordOverload();
        yield Attempt.retry(failure, pool, !isPrimary);
      }
      case UNKNOWN_STATEMENT -> Attempt.retry(failure, pool, !isPrimary);
      default -> new AttemptOutcome.Final(Answer.failed(failure, TransactionStatus.FAILED));
    };
  }

  /** Nothing was committed, so the transaction may begin again elsewhere if time remains. */
  private AttemptOutcome handleUnanswered(
      BorrowedConnection borrowed, boolean isPrimary, CommandResult result) {
    Failure failure = transactionLost(discard(borrowed, isPrimary, result));
    return result instanceof CommandResult.Lost
        ? Attempt.retry(failure, borrowed.pool(), !isPrimary)
        : new AttemptOutcome.Final(Answer.failed(failure, TransactionStatus.FAILED));
  }

  private Answer runNext(ForwardedStatement statement) {
    Optional<CommandResult> result = runUnlessBusy(statement);
    if (result.isEmpty()) {
      return abandon(TransactionStatus.FAILED);
    }
    if (result.get() instanceof CommandResult.Answered answered) {
      recordPosition(answered, answered.last());
      return answered.last();
    }
    Failure lost = discardConnection(result.get());
    return Answer.failed(transactionLost(lost), TransactionStatus.FAILED);
  }

  /**
   * Resends a statement while the endpoint has no free slot but keeps the transaction open.
   *
   * @return the last result; empty if the transaction must not go on at its endpoint, where the
   *     statement has then not run
   */
  private Optional<CommandResult> runUnlessBusy(ForwardedStatement statement) {
    Instant now = dependencies.clock().instant();
    Instant deadline = now.plus(route.statementTimeout());
    List<EndpointCommand> commands = List.of(statement.command(Optional.empty()));
    while (!onPrimary || attempt.mayContinueAt(connection.pool())) {
      CommandResult result = attempt.run(connection, statement.shape(), commands, deadline);
      if (!wasBusy(result) || !dependencies.retryLoop().pause(deadline)) {
        return Optional.of(result);
      }
    }
    return Optional.empty();
  }

  /** Rolls back by closing the connection, because the use of its primary has ended. */
  private Answer abandon(TransactionStatus status) {
    EndpointPool pool = connection.pool();
    discardConnection();
    return Answer.failed(Attempt.useEnded(ErrorKind.TRANSACTION_LOST, pool), status);
  }

  private static boolean wasBusy(CommandResult result) {
    return result instanceof CommandResult.Answered answered
        && answered.last().hasFailed(ErrorKind.OVERLOADED)
        && answered.last().status() == TransactionStatus.IN_TRANSACTION;
  }

  /** Commits; without an answer the outcome is unknown, unless there was nothing to commit. */
  private Answer sendCommit(ForwardedStatement statement) {
    Optional<CommandResult> result = runUnlessBusy(statement);
    if (result.isEmpty()) {
      return abandon(TransactionStatus.IDLE);
    }
    if (!(result.get() instanceof CommandResult.Answered answered)) {
      Failure failure = discardConnection(result.get());
      return Answer.failed(wrote ? failure : transactionLost(failure), TransactionStatus.IDLE);
    }
    if (answered.last().isDone() && wrote && !attempt.isStillPrimary(connection.pool())) {
      Failure uncertain = Attempt.uncertainWrite(connection.pool());
      discardConnection();
      return Answer.failed(uncertain, TransactionStatus.IDLE);
    }
    recordPosition(answered, answered.last());
    if (answered.last().isDone() && wrote) {
      attempt.recordWrite(answered.last());
    }
    return answered.last();
  }

  private void discardConnection() {
    connection.discard();
    connection = null;
  }

  private Failure discardConnection(CommandResult result) {
    BorrowedConnection lost = connection;
    connection = null;
    return discard(lost, onPrimary, result);
  }

  private Failure discard(BorrowedConnection lost, boolean isPrimary, CommandResult result) {
    EndpointPool pool = lost.pool();
    lost.discard();
    Failure failure = Attempt.unanswered(pool, result);
    if (isPrimary) {
      attempt.suspectPrimary(pool, failure.detail());
    } else {
      pool.health().recordFailure();
    }
    return failure;
  }

  /** Returns the failure as a lost transaction: nothing was committed. */
  private static Failure transactionLost(Failure failure) {
    return new Failure(ErrorKind.TRANSACTION_LOST, failure.detail());
  }

  private void recordPosition(CommandResult.Answered answered, Answer answer) {
    if (onPrimary && answer.isDone()) {
      attempt.recordPrimaryPosition(connection.pool(), answered.sentAt(), answer);
    }
  }

  private void releaseConnection() {
    if (connection != null) {
      connection.release();
      connection = null;
    }
  }

  private void rollBackOn(BorrowedConnection open) {
    Instant deadline = dependencies.clock().instant().plus(ROLLBACK_TIMEOUT);
    CommandResult result =
        open.run(
            Map.copyOf(session.values()),
            Optional.empty(),
            List.of(new EndpointCommand.Rollback()),
            deadline);
    boolean done = result instanceof CommandResult.Answered answered && answered.last().isDone();
    if (done) {
      open.release();
    } else {
      open.discard();
    }
  }
}

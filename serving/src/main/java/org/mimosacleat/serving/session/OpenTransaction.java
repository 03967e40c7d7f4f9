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
import org.mimosacleat.serving.endpoint.EndpointCommand;
import org.mimosacleat.serving.endpoint.EndpointPool;
import org.mimosacleat.serving.endpoint.LeasedLink;
import org.mimosacleat.serving.endpoint.LinkResult;
import org.mimosacleat.serving.fleet.ReadPromise;
import org.mimosacleat.serving.fleet.Route;
import org.mimosacleat.serving.routing.Target;
import org.mimosacleat.serving.statement.Answer;

/**
 * The open transaction of a session. It begins on an endpoint with its first statement, so that a
 * client that is idle after BEGIN holds no connection, and keeps that connection until its end.
 */
final class OpenTransaction {
  private static final Duration ROLLBACK_TIMEOUT = Duration.ofMillis(500);

  private final SessionParts parts;
  private final SessionState session;
  private final Route route;
  private final boolean readOnly;
  private final Attempt attempt;
  private LeasedLink link;
  private boolean onPrimary;
  private boolean wrote;
  private boolean failed;

  OpenTransaction(SessionParts parts, SessionState session, Route route, boolean readOnly) {
    this.parts = parts;
    this.session = session;
    this.route = route;
    this.readOnly = readOnly;
    this.attempt = new Attempt(parts, session, route);
  }

  TransactionStatus status() {
    return failed ? TransactionStatus.FAILED : TransactionStatus.IN_TRANSACTION;
  }

  /** Runs a statement of the transaction. */
  Answer run(Forwarded statement) {
    if (failed) {
      return refuse(ErrorKind.PROTOCOL_VIOLATION, "the transaction has failed; roll it back");
    }
    if (readOnly && statement.writes()) {
      return refuse(ErrorKind.NOT_PRIMARY, "cannot write in a read-only transaction");
    }
    Answer answer = link == null ? first(statement) : next(statement);
    if (!answer.isDone()) {
      failed = true;
      return answer.withStatus(TransactionStatus.FAILED);
    }
    wrote = wrote || statement.writes();
    return answer.withStatus(TransactionStatus.IN_TRANSACTION);
  }

  /** Commits; the transaction is over whatever the answer is. */
  Answer commit(Forwarded statement) {
    if (failed) {
      rollback();
      return Answer.failed(
          new Failure(
              ErrorKind.TRANSACTION_LOST,
              "the transaction had failed; rolled back instead of committed"),
          TransactionStatus.IDLE);
    }
    Answer answer = link == null ? first(statement) : finish(statement);
    if (link != null && answer.status() != TransactionStatus.IDLE) {
      rollback();
    }
    end();
    return answer.withStatus(TransactionStatus.IDLE);
  }

  /** Rolls back; the transaction stays open as failed until the client ends it. */
  void abort() {
    failed = true;
    rollback();
  }

  /** Rolls back; the transaction is over. */
  void rollback() {
    if (link == null) {
      return;
    }
    rollBackOn(link);
    link = null;
  }

  private Answer refuse(ErrorKind kind, String detail) {
    failed = true;
    return Answer.failed(new Failure(kind, detail), TransactionStatus.FAILED);
  }

  /** Begins on an endpoint; this is repeated until the first statement has succeeded there. */
  private Answer first(Forwarded statement) {
    Instant arrivedAt = parts.clock().instant();
    Instant deadline = arrivedAt.plus(route.statementTimeout());
    return parts
        .loop()
        .run(
            route,
            arrivedAt,
            avoided ->
                mayUseReplica()
                    ? parts.chooser().forRead(route, attempt.lastWrite(), arrivedAt, avoided)
                    : parts.chooser().forPrimary(route.group()),
            target -> begin(statement, target, deadline));
  }

  private boolean mayUseReplica() {
    return readOnly && !(route.promise() instanceof ReadPromise.Latest);
  }

  /**
   * Begins on the target and runs the first statement. The statement is sent only once BEGIN has
   * succeeded: it would run outside a transaction if BEGIN were refused.
   */
  private Step begin(Forwarded statement, Target target, Instant deadline) {
    EndpointPool pool = target.usedPool().orElseThrow();
    Optional<Position> after =
        target instanceof Target.Fresh(EndpointPool same, Position position)
            ? Optional.of(position)
            : Optional.empty();
    boolean leads = after.isEmpty();
    Either<Step, LeasedLink> leased = attempt.lease(pool, deadline, leads);
    if (leased.isLeft()) {
      return leased.getLeft();
    }
    LeasedLink taken = leased.get();
    List<EndpointCommand> begin = List.of(new EndpointCommand.Begin(!leads, after));
    LinkResult begun = attempt.run(taken, Optional.empty(), begin, deadline);
    if (!(begun instanceof LinkResult.Answered answered)) {
      return unanswered(taken, leads, begun);
    }
    if (!answered.last().isDone()) {
      taken.release();
      return refused(taken.pool(), after, answered.last().failure().orElseThrow());
    }
    List<EndpointCommand> first = List.of(statement.command(Optional.empty()));
    LinkResult result = attempt.run(taken, statement.shape(), first, deadline);
    return result instanceof LinkResult.Answered ran
        ? begun(taken, after, ran)
        : unanswered(taken, leads, result);
  }

  private Step begun(LeasedLink taken, Optional<Position> after, LinkResult.Answered answered) {
    Answer answer = answered.last();
    if (answer.isDone()) {
      link = taken;
      onPrimary = after.isEmpty();
      noted(answered, answer);
      return new Step.Final(answer);
    }
    rollBackOn(taken);
    return refused(taken.pool(), after, answer.failure().orElseThrow());
  }

  private Step refused(EndpointPool pool, Optional<Position> after, Failure failure) {
    boolean leads = after.isEmpty();
    return switch (failure.kind()) {
      case NOT_PRIMARY -> {
        attempt.doubt(pool, failure.detail());
        yield Attempt.again(failure, pool, false);
      }
      case REPLICA_BEHIND -> {
        after.ifPresent(pool.health()::lacked);
        yield Attempt.again(failure, pool, !leads);
      }
      case OVERLOADED, UNKNOWN_STATEMENT -> Attempt.again(failure, pool, !leads);
      default -> new Step.Final(Answer.failed(failure, TransactionStatus.FAILED));
    };
  }

  /** Nothing was committed, so the transaction may begin again elsewhere if time remains. */
  private Step unanswered(LeasedLink taken, boolean leads, LinkResult result) {
    Failure failure = notKept(lose(taken, leads, result));
    return result instanceof LinkResult.Lost
        ? Attempt.again(failure, taken.pool(), !leads)
        : new Step.Final(Answer.failed(failure, TransactionStatus.FAILED));
  }

  private Answer next(Forwarded statement) {
    LinkResult result = runUnlessBusy(statement);
    if (result instanceof LinkResult.Answered answered) {
      noted(answered, answered.last());
      return answered.last();
    }
    return Answer.failed(notKept(loseLink(result)), TransactionStatus.FAILED);
  }

  /** Resends a statement while the endpoint has no free slot but keeps the transaction open. */
  private LinkResult runUnlessBusy(Forwarded statement) {
    Instant now = parts.clock().instant();
    Instant deadline = now.plus(route.statementTimeout());
    List<EndpointCommand> commands = List.of(statement.command(Optional.empty()));
    LinkResult result = attempt.run(link, statement.shape(), commands, deadline);
    while (wasBusy(result) && parts.loop().pause(deadline)) {
      result = attempt.run(link, statement.shape(), commands, deadline);
    }
    return result;
  }

  private static boolean wasBusy(LinkResult result) {
    return result instanceof LinkResult.Answered answered
        && answered.last().hasFailed(ErrorKind.OVERLOADED)
        && answered.last().status() == TransactionStatus.IN_TRANSACTION;
  }

  /** Commits; without an answer the outcome is unknown, unless there was nothing to commit. */
  private Answer finish(Forwarded statement) {
    LinkResult result = runUnlessBusy(statement);
    if (!(result instanceof LinkResult.Answered answered)) {
      Failure failure = loseLink(result);
      return Answer.failed(wrote ? failure : notKept(failure), TransactionStatus.IDLE);
    }
    noted(answered, answered.last());
    if (answered.last().isDone() && wrote) {
      attempt.wrote(answered.last());
    }
    return answered.last();
  }

  private Failure loseLink(LinkResult result) {
    LeasedLink lost = link;
    link = null;
    return lose(lost, onPrimary, result);
  }

  private Failure lose(LeasedLink lost, boolean leads, LinkResult result) {
    EndpointPool pool = lost.pool();
    lost.discard();
    Failure failure = Attempt.unanswered(pool, result);
    if (leads) {
      attempt.doubt(pool, failure.detail());
    } else {
      pool.health().failed();
    }
    return failure;
  }

  /** Returns the failure as a lost transaction: nothing was committed. */
  private static Failure notKept(Failure failure) {
    return new Failure(ErrorKind.TRANSACTION_LOST, failure.detail());
  }

  private void noted(LinkResult.Answered answered, Answer answer) {
    if (onPrimary && answer.isDone()) {
      attempt.sawPrimary(link.pool(), answered.sentAt(), answer);
    }
  }

  private void end() {
    if (link != null) {
      link.release();
      link = null;
    }
  }

  private void rollBackOn(LeasedLink open) {
    Instant deadline = parts.clock().instant().plus(ROLLBACK_TIMEOUT);
    LinkResult result =
        open.run(
            Map.copyOf(session.values()),
            Optional.empty(),
            List.of(new EndpointCommand.Rollback()),
            deadline);
    boolean done = result instanceof LinkResult.Answered answered && answered.last().isDone();
    if (done) {
      open.release();
    } else {
      open.discard();
    }
  }
}

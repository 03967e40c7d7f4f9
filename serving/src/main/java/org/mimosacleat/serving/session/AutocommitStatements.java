package org.mimosacleat.serving.session;

import io.vavr.control.Either;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.mimosacleat.core.connection.TransactionStatus;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.serving.endpoint.BorrowedConnection;
import org.mimosacleat.serving.endpoint.CommandResult;
import org.mimosacleat.serving.endpoint.EndpointCommand;
import org.mimosacleat.serving.endpoint.EndpointPool;
import org.mimosacleat.serving.fleet.Route;
import org.mimosacleat.serving.routing.Target;
import org.mimosacleat.serving.statement.Answer;
import org.mimosacleat.serving.statement.ForwardedStatement;

/** Runs statements outside a transaction. */
final class AutocommitStatements {
  private final SessionDependencies dependencies;
  private final SessionState session;

  AutocommitStatements(SessionDependencies dependencies, SessionState session) {
    this.dependencies = dependencies;
    this.session = session;
  }

  /** Runs one statement while no transaction is open, and returns its answer. */
  Answer run(ForwardedStatement statement, Route route, Instant arrivedAt) {
    Either<Failure, Void> admission = dependencies.admit(session);
    if (admission.isLeft()) {
      return Answer.failed(admission.getLeft(), TransactionStatus.IDLE);
    }
    Instant deadline = arrivedAt.plus(route.statementTimeout());
    Attempt attempt = new Attempt(dependencies, session, route);
    if (statement.writes()) {
      return dependencies
          .retryLoop()
          .run(
              route,
              arrivedAt,
              _ -> dependencies.chooser().forPrimary(route.group()),
              target -> write(attempt, statement, target.usedPool().orElseThrow(), deadline));
    }
    return dependencies
        .retryLoop()
        .run(
            route,
            arrivedAt,
            avoided ->
                dependencies
                    .chooser()
                    .forRead(route, session.team(), attempt.lastWrite(), arrivedAt, avoided),
            target -> read(attempt, statement, target, deadline));
  }

  private AttemptOutcome read(
      Attempt attempt, ForwardedStatement statement, Target target, Instant deadline) {
    return switch (target) {
      case Target.Primary(EndpointPool pool) -> readAtPrimary(attempt, statement, pool, deadline);
      case Target.AfterPosition(EndpointPool pool, Position after) ->
          readAtPosition(attempt, statement, pool, after, deadline);
      case Target.None none -> throw new IllegalStateException("no target to read from");
      case Target.Unavailable unavailable ->
          throw new IllegalStateException("no target to read from");
    };
  }

  private AttemptOutcome write(
      Attempt attempt, ForwardedStatement statement, EndpointPool pool, Instant deadline) {
    Either<AttemptOutcome, BorrowedConnection> borrowResult = attempt.borrow(pool, deadline, true);
    if (borrowResult.isLeft()) {
      return borrowResult.getLeft();
    }
    BorrowedConnection connection = borrowResult.get();
    List<EndpointCommand> commands = List.of(statement.command(Optional.empty()));
    CommandResult result = attempt.run(connection, statement.shape(), commands, deadline);
    return result instanceof CommandResult.Answered answered
        ? finishWrite(attempt, connection, answered)
        : failed(lostPrimary(attempt, connection, result));
  }

  private static AttemptOutcome finishWrite(
      Attempt attempt, BorrowedConnection connection, CommandResult.Answered answered) {
    Answer answer = answered.last();
    EndpointPool pool = connection.pool();
    if (answer.isDone() && !attempt.isStillPrimary(pool)) {
      connection.discard();
      return failed(Attempt.uncertainWrite(pool));
    }
    if (answer.isDone()) {
      connection.release();
      attempt.recordPrimaryPosition(pool, answered.sentAt(), answer);
      attempt.recordWrite(answer);
      return new AttemptOutcome.Final(answer);
    }
    return retryOrFail(attempt, connection, answer);
  }

  /**
   * Reads at the primary in a read-write transaction, because only there the endpoint checks that
   * it is still primary. The read is sent once the transaction has begun: sent together with BEGIN,
   * it would run outside a transaction if BEGIN were refused.
   */
  private AttemptOutcome readAtPrimary(
      Attempt attempt, ForwardedStatement statement, EndpointPool pool, Instant deadline) {
    Either<AttemptOutcome, BorrowedConnection> borrowResult = attempt.borrow(pool, deadline, true);
    if (borrowResult.isLeft()) {
      return borrowResult.getLeft();
    }
    BorrowedConnection connection = borrowResult.get();
    Instant limit = attempt.readDeadline(pool, deadline);
    List<EndpointCommand> begin = List.of(new EndpointCommand.Begin(false, Optional.empty()));
    CommandResult begun = attempt.run(connection, Optional.empty(), begin, limit);
    if (!(begun instanceof CommandResult.Answered(List<Answer> answers, Instant sentAt))) {
      return retryUnanswered(attempt, connection, begun);
    }
    if (!answers.getLast().isDone()) {
      return retryOrFail(attempt, connection, answers.getLast());
    }
    List<EndpointCommand> read =
        List.of(statement.command(Optional.empty()), new EndpointCommand.Rollback());
    CommandResult result = attempt.run(connection, statement.shape(), read, limit);
    return result instanceof CommandResult.Answered answered
        ? finishPrimaryRead(attempt, connection, answered, sentAt)
        : retryUnanswered(attempt, connection, result);
  }

  private static AttemptOutcome retryUnanswered(
      Attempt attempt, BorrowedConnection connection, CommandResult result) {
    return Attempt.retry(lostPrimary(attempt, connection, result), connection.pool(), false);
  }

  private static Failure lostPrimary(
      Attempt attempt, BorrowedConnection connection, CommandResult result) {
    connection.discard();
    Failure failure = Attempt.unanswered(connection.pool(), result);
    attempt.suspectPrimary(connection.pool(), failure.detail());
    return failure;
  }

  private static AttemptOutcome finishPrimaryRead(
      Attempt attempt,
      BorrowedConnection connection,
      CommandResult.Answered answered,
      Instant begunAt) {
    Answer answer = answered.answers().getFirst();
    if (!answered.last().isDone()) {
      connection.discard();
      return Attempt.retry(answered.last().failure().orElseThrow(), connection.pool(), false);
    }
    if (!answer.isDone()) {
      return retryOrFail(attempt, connection, answer);
    }
    connection.release();
    if (!attempt.isStillPrimary(connection.pool())) {
      Failure ended = Attempt.useEnded(ErrorKind.UNAVAILABLE, connection.pool());
      return Attempt.retry(ended, connection.pool(), false);
    }
    attempt.recordPrimaryPosition(connection.pool(), begunAt, answer);
    return new AttemptOutcome.Final(answer.withStatus(TransactionStatus.IDLE));
  }

  private AttemptOutcome readAtPosition(
      Attempt attempt,
      ForwardedStatement statement,
      EndpointPool pool,
      Position after,
      Instant deadline) {
    Either<AttemptOutcome, BorrowedConnection> borrowResult = attempt.borrow(pool, deadline, false);
    if (borrowResult.isLeft()) {
      return borrowResult.getLeft();
    }
    BorrowedConnection connection = borrowResult.get();
    List<EndpointCommand> commands = List.of(statement.command(Optional.of(after)));
    Instant limit = attempt.readDeadline(pool, deadline);
    CommandResult result = attempt.run(connection, statement.shape(), commands, limit);
    if (result instanceof CommandResult.Answered answered) {
      return finishReadAtPosition(connection, after, answered.last());
    }
    connection.discard();
    pool.health().recordFailure();
    return Attempt.retry(Attempt.unanswered(pool, result), pool, true);
  }

  private static AttemptOutcome finishReadAtPosition(
      BorrowedConnection connection, Position after, Answer answer) {
    EndpointPool pool = connection.pool();
    if (answer.isDone()) {
      connection.release();
      return new AttemptOutcome.Final(answer);
    }
    Failure failure = answer.failure().orElseThrow();
    if (failure.kind() == ErrorKind.UNKNOWN_STATEMENT) {
      connection.discard();
      return Attempt.retry(failure, pool, false);
    }
    connection.release();
    if (failure.kind() == ErrorKind.REPLICA_BEHIND) {
      pool.health().recordMissingPosition(after);
    }
    if (failure.kind() == ErrorKind.OVERLOADED) {
      pool.health().recordOverload();
    }
    return Attempt.retry(failure, pool, true);
  }

  /** Retries after a refusal; returns the failure of a statement that ran to the client. */
  private static AttemptOutcome retryOrFail(
      Attempt attempt, BorrowedConnection connection, Answer answer) {
    Failure failure = answer.failure().orElseThrow();
    EndpointPool pool = connection.pool();
    if (failure.kind() == ErrorKind.UNKNOWN_STATEMENT) {
      connection.discard();
      return Attempt.retry(failure, pool, false);
    }
    connection.release();
    return switch (failure.kind()) {
      case NOT_PRIMARY -> {
        attempt.suspectPrimary(pool, failure.detail());
        yield Attempt.retry(failure, pool, false);
      }
      case OVERLOADED -> {
        pool.health().recordOverload();
        yield Attempt.retry(failure, pool, false);
      }
      case REPLICA_BEHIND -> Attempt.retry(failure, pool, false);
      default -> failed(failure);
    };
  }

  private static AttemptOutcome failed(Failure failure) {
    return new AttemptOutcome.Final(Answer.failed(failure, TransactionStatus.IDLE));
  }
}

package org.mimosacleat.serving.session;

import io.vavr.control.Either;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.mimosacleat.core.connection.TransactionStatus;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.serving.endpoint.EndpointCommand;
import org.mimosacleat.serving.endpoint.EndpointPool;
import org.mimosacleat.serving.endpoint.LeasedLink;
import org.mimosacleat.serving.endpoint.LinkResult;
import org.mimosacleat.serving.fleet.Route;
import org.mimosacleat.serving.routing.Target;
import org.mimosacleat.serving.statement.Answer;

/** Runs statements outside a transaction. */
final class SingleStatements {
  private final SessionParts parts;
  private final SessionState session;

  SingleStatements(SessionParts parts, SessionState session) {
    this.parts = parts;
    this.session = session;
  }

  /** Runs one statement while no transaction is open, and returns its answer. */
  Answer run(Forwarded statement, Route route) {
    Instant arrivedAt = parts.clock().instant();
    Instant deadline = arrivedAt.plus(route.statementTimeout());
    Attempt attempt = new Attempt(parts, session, route);
    if (statement.writes()) {
      return parts
          .loop()
          .run(
              route,
              arrivedAt,
              _ -> parts.chooser().forPrimary(route.group()),
              target -> write(attempt, statement, target.usedPool().orElseThrow(), deadline));
    }
    return parts
        .loop()
        .run(
            route,
            arrivedAt,
            avoided -> parts.chooser().forRead(route, attempt.lastWrite(), arrivedAt, avoided),
            target -> read(attempt, statement, target, deadline));
  }

  private Step read(Attempt attempt, Forwarded statement, Target target, Instant deadline) {
    return switch (target) {
      case Target.Primary(EndpointPool pool) -> readAtPrimary(attempt, statement, pool, deadline);
      case Target.Fresh(EndpointPool pool, Position after) ->
          readAfter(attempt, statement, pool, after, deadline);
      case Target.None none -> throw new IllegalStateException("no target to read from");
    };
  }

  private Step write(Attempt attempt, Forwarded statement, EndpointPool pool, Instant deadline) {
    Either<Step, LeasedLink> leased = attempt.lease(pool, deadline, true);
    if (leased.isLeft()) {
      return leased.getLeft();
    }
    LeasedLink link = leased.get();
    List<EndpointCommand> commands = List.of(statement.command(Optional.empty()));
    LinkResult result = attempt.run(link, statement.shape(), commands, deadline);
    return result instanceof LinkResult.Answered answered
        ? written(attempt, link, answered)
        : failed(lostPrimary(attempt, link, result));
  }

  private static Step written(Attempt attempt, LeasedLink link, LinkResult.Answered answered) {
    Answer answer = answered.last();
    EndpointPool pool = link.pool();
    if (answer.isDone()) {
      link.release();
      attempt.sawPrimary(pool, answered.sentAt(), answer);
      attempt.wrote(answer);
      return new Step.Final(answer);
    }
    return refusedOrFinal(attempt, link, answer);
  }

  /**
   * Reads at the primary in a read-write transaction, because only there the endpoint checks that
   * it is still primary. The read is sent once the transaction has begun: sent together with BEGIN,
   * it would run outside a transaction if BEGIN were refused.
   */
  private Step readAtPrimary(
      Attempt attempt, Forwarded statement, EndpointPool pool, Instant deadline) {
    Either<Step, LeasedLink> leased = attempt.lease(pool, deadline, true);
    if (leased.isLeft()) {
      return leased.getLeft();
    }
    LeasedLink link = leased.get();
    Instant limit = attempt.silenceLimit(pool, deadline);
    List<EndpointCommand> begin = List.of(new EndpointCommand.Begin(false, Optional.empty()));
    LinkResult begun = attempt.run(link, Optional.empty(), begin, limit);
    if (!(begun instanceof LinkResult.Answered(List<Answer> answers, Instant sentAt))) {
      return unanswered(attempt, link, begun);
    }
    if (!answers.getLast().isDone()) {
      return refusedOrFinal(attempt, link, answers.getLast());
    }
    List<EndpointCommand> read =
        List.of(statement.command(Optional.empty()), new EndpointCommand.Rollback());
    LinkResult result = attempt.run(link, statement.shape(), read, limit);
    return result instanceof LinkResult.Answered answered
        ? readUnderLead(attempt, link, answered, sentAt)
        : unanswered(attempt, link, result);
  }

  private static Step unanswered(Attempt attempt, LeasedLink link, LinkResult result) {
    return Attempt.again(lostPrimary(attempt, link, result), link.pool(), false);
  }

  private static Failure lostPrimary(Attempt attempt, LeasedLink link, LinkResult result) {
    link.discard();
    Failure failure = Attempt.unanswered(link.pool(), result);
    attempt.doubt(link.pool(), failure.detail());
    return failure;
  }

  private static Step readUnderLead(
      Attempt attempt, LeasedLink link, LinkResult.Answered answered, Instant begunAt) {
    Answer answer = answered.answers().getFirst();
    if (!answered.last().isDone()) {
      link.discard();
      return Attempt.again(answered.last().failure().orElseThrow(), link.pool(), false);
    }
    if (!answer.isDone()) {
      return refusedOrFinal(attempt, link, answer);
    }
    link.release();
    attempt.sawPrimary(link.pool(), begunAt, answer);
    return new Step.Final(answer.withStatus(TransactionStatus.IDLE));
  }

  private Step readAfter(
      Attempt attempt, Forwarded statement, EndpointPool pool, Position after, Instant deadline) {
    Either<Step, LeasedLink> leased = attempt.lease(pool, deadline, false);
    if (leased.isLeft()) {
      return leased.getLeft();
    }
    LeasedLink link = leased.get();
    List<EndpointCommand> commands = List.of(statement.command(Optional.of(after)));
    Instant limit = attempt.silenceLimit(pool, deadline);
    LinkResult result = attempt.run(link, statement.shape(), commands, limit);
    if (result instanceof LinkResult.Answered answered) {
      return readFresh(link, after, answered.last());
    }
    link.discard();
    pool.health().failed();
    return Attempt.again(Attempt.unanswered(pool, result), pool, true);
  }

  private static Step readFresh(LeasedLink link, Position after, Answer answer) {
    EndpointPool pool = link.pool();
    if (answer.isDone()) {
      link.release();
      return new Step.Final(answer);
    }
    Failure failure = answer.failure().orElseThrow();
    if (failure.kind() == ErrorKind.UNKNOWN_STATEMENT) {
      link.discard();
      return Attempt.again(failure, pool, false);
    }
    link.release();
    if (failure.kind() == ErrorKind.REPLICA_BEHIND) {
      pool.health().lacked(after);
    }
    return Attempt.again(failure, pool, true);
  }

  /** Retries after a refusal; returns the failure of a statement that ran to the client. */
  private static Step refusedOrFinal(Attempt attempt, LeasedLink link, Answer answer) {
    Failure failure = answer.failure().orElseThrow();
    EndpointPool pool = link.pool();
    if (failure.kind() == ErrorKind.UNKNOWN_STATEMENT) {
      link.discard();
      return Attempt.again(failure, pool, false);
    }
    link.release();
    return switch (failure.kind()) {
      case NOT_PRIMARY -> {
        attempt.doubt(pool, failure.detail());
        yield Attempt.again(failure, pool, false);
      }
      case OVERLOADED, REPLICA_BEHIND -> Attempt.again(failure, pool, false);
      default -> failed(failure);
    };
  }

  private static Step failed(Failure failure) {
    return new Step.Final(Answer.failed(failure, TransactionStatus.IDLE));
  }
}

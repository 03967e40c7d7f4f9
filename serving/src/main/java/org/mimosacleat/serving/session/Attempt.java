package org.mimosacleat.serving.session;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.serving.endpoint.EndpointCommand;
import org.mimosacleat.serving.endpoint.EndpointPool;
import org.mimosacleat.serving.endpoint.LeasedLink;
import org.mimosacleat.serving.endpoint.LinkResult;
import org.mimosacleat.serving.endpoint.Urgency;
import org.mimosacleat.serving.fleet.Route;
import org.mimosacleat.serving.statement.Answer;
import org.mimosacleat.serving.statement.PreparedShape;

/** The operations that all attempts share: borrowing connections, sending commands, recording. */
final class Attempt {
  /** A read that takes longer than this multiple of the usual time is tried elsewhere. */
  private static final int SILENCE_FACTOR = 12;

  private static final Duration SHORTEST_SILENCE = Duration.ofMillis(300);
  private static final Duration LONGEST_WAIT_FOR_LINK = Duration.ofMillis(60);

  private final SessionParts parts;
  private final SessionState session;
  private final Route route;
  private final GroupId group;

  Attempt(SessionParts parts, SessionState session, Route route) {
    this.parts = parts;
    this.session = session;
    this.route = route;
    this.group = route.group();
  }

  /**
   * Borrows a connection, or returns on the left the step that follows if none is available. The
   * wait is short, so that the endpoint is chosen again afterwards; the urgency depends on the
   * arrival of the statement, so a repeated wait does not lose its place.
   *
   * @param deadline when the statement must be answered
   * @param primary whether the endpoint is used as the primary
   */
  Either<Step, LeasedLink> lease(EndpointPool pool, Instant deadline, boolean primary) {
    Urgency urgency = Urgency.of(route, deadline.minus(route.statementTimeout()));
    Instant until = earlier(parts.clock().instant().plus(LONGEST_WAIT_FOR_LINK), deadline);
    Either<Failure, LeasedLink> leased = pool.lease(session.values(), urgency, until);
    if (leased.isLeft()) {
      Failure failure = leased.getLeft();
      if (primary && failure.kind() == ErrorKind.UNAVAILABLE) {
        doubt(pool, failure.detail());
      }
      return Either.left(again(failure, pool, !primary));
    }
    return Either.right(leased.get());
  }

  LinkResult run(
      LeasedLink link,
      Optional<PreparedShape> shape,
      List<EndpointCommand> commands,
      Instant deadline) {
    return link.run(session.values(), shape, commands, deadline);
  }

  /** Returns until when to wait for the answer to a read before another endpoint is tried. */
  Instant silenceLimit(EndpointPool pool, Instant deadline) {
    Duration usual = pool.health().answerTime().multipliedBy(SILENCE_FACTOR);
    Duration limit = usual.compareTo(SHORTEST_SILENCE) > 0 ? usual : SHORTEST_SILENCE;
    return earlier(parts.clock().instant().plus(limit), deadline);
  }

  private static Instant earlier(Instant one, Instant other) {
    return one.isBefore(other) ? one : other;
  }

  /** Records the primary's log position from an answer that only a primary gives. */
  void sawPrimary(EndpointPool pool, Instant sentAt, Answer answer) {
    answer
        .position()
        .ifPresent(
            position -> parts.views().of(group).sawPosition(pool.entry().id(), sentAt, position));
  }

  /** Records the position of the session's own write. */
  void wrote(Answer answer) {
    answer.position().ifPresent(position -> session.wrote(group, position));
  }

  Position lastWrite() {
    return session.lastWrite(group);
  }

  /** Reports an endpoint whose answer, or lack of one, shows that it may not be the primary. */
  void doubt(EndpointPool pool, String reason) {
    parts.doubt().doubt(group, pool.entry().id(), reason);
  }

  /**
   * Returns a step that retries.
   *
   * @param elsewhere whether to avoid this endpoint; otherwise it may be tried again after a pause
   */
  static Step again(Failure failure, EndpointPool pool, boolean elsewhere) {
    return new Step.Again(failure, elsewhere ? Optional.of(pool.entry().id()) : Optional.empty());
  }

  /** Returns the failure of commands that were not answered and may have run. */
  static Failure unanswered(EndpointPool pool, LinkResult result) {
    return result instanceof LinkResult.Lost(String reason)
        ? new Failure(
            ErrorKind.CONNECTION_LOST,
            "the connection to endpoint " + pool.entry().id() + " was lost: " + reason)
        : new Failure(
            ErrorKind.DEADLINE_AFTER_START,
            "endpoint " + pool.entry().id() + " did not answer before the statement's deadline");
  }
}

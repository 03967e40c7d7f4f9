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
import org.mimosacleat.serving.endpoint.BorrowedConnection;
import org.mimosacleat.serving.endpoint.CommandResult;
import org.mimosacleat.serving.endpoint.EndpointCommand;
import org.mimosacleat.serving.endpoint.EndpointPool;
import org.mimosacleat.serving.endpoint.Urgency;
import org.mimosacleat.serving.fleet.Route;
import org.mimosacleat.serving.statement.Answer;
import org.mimosacleat.serving.statement.PreparedShape;

/** The operations that all attempts share: borrowing connections, sending commands, recording. */
final class Attempt {
  /** A read that takes longer than this multiple of the usual time is tried elsewhere. */
  private static final int READ_TIMEOUT_FACTOR = 12;

  private static final Duration MIN_READ_TIMEOUT = Duration.ofMillis(300);
  private static final Duration MAX_CONNECTION_WAIT = Duration.ofMillis(60);

  private final SessionDependencies dependencies;
  private final SessionState session;
  private final Route route;
  private final GroupId group;

  Attempt(SessionDependencies dependencies, SessionState session, Route route) {
    this.dependencies = dependencies;
    this.session = session;
    this.route = route;
    this.group = route.group();
  }

  /**
   * Borrows a connection, or returns on the left the outcome of the attempt if none is available.
   * The wait is short, so that the endpoint is chosen again afterwards; the urgency depends on the
   * arrival of the statement, so a repeated wait does not lose its place.
   *
   * <p>The use of a primary may end during the wait. A stop closes the connections that are
   * borrowed by then; those that are borrowed later are not used, because that is checked after the
   * wait.
   *
   * @param deadline when the statement must be answered
   * @param primary whether the endpoint is used as the primary
   */
  Either<AttemptOutcome, BorrowedConnection> borrow(
      EndpointPool pool, Instant deadline, boolean primary) {
    Urgency urgency = Urgency.of(route, deadline.minus(route.statementTimeout()));
    Instant until = earlier(dependencies.clock().instant().plus(MAX_CONNECTION_WAIT), deadline);
    Either<Failure, BorrowedConnection> borrowResult =
        pool.borrow(session.team(), session.values(), urgency, until);
    if (borrowResult.isLeft()) {
      Failure failure = borrowResult.getLeft();
      if (primary && failure.kind() == ErrorKind.UNAVAILABLE) {
        suspectPrimary(pool, failure.detail());
      }
      return Either.left(retry(failure, pool, !primary));
    }
    BorrowedConnection connection = borrowResult.get();
    if (primary && !dependencies.chooser().mayUseAsPrimary(pool, group)) {
      connection.release();
      return Either.left(retry(useEnded(ErrorKind.UNAVAILABLE, pool), pool, false));
    }
    return Either.right(connection);
  }

  /** Returns whether a transaction that began at the primary may go on there now. */
  boolean mayContinueAt(EndpointPool pool) {
    return dependencies.chooser().mayContinueAsPrimary(pool, group);
  }

  /**
   * Returns whether an answer of the primary can be relied on. The use of the primary may have
   * ended while the answer was on its way, and another endpoint may have been promoted since.
   */
  boolean isStillPrimary(EndpointPool pool) {
    return dependencies.chooser().isStillPrimary(pool, group);
  }

  /** Returns the failure of a statement because the use of the primary has ended. */
  static Failure useEnded(ErrorKind kind, EndpointPool pool) {
    return new Failure(kind, "the use of primary " + pool.entry().id() + " has ended");
  }

  /** Returns the failure of a write that was answered after the use of the primary had ended. */
  static Failure uncertainWrite(EndpointPool pool) {
    String detail = "the use of primary " + pool.entry().id() + " ended while the write ran";
    return new Failure(ErrorKind.CONNECTION_LOST, detail + "; whether it took effect is not known");
  }

  CommandResult run(
      BorrowedConnection connection,
      Optional<PreparedShape> shape,
      List<EndpointCommand> commands,
      Instant deadline) {
    return connection.run(session.values(), shape, commands, deadline);
  }

  /** Returns until when to wait for the answer to a read before another endpoint is tried. */
  Instant readDeadline(EndpointPool pool, Instant deadline) {
    Duration usual = pool.health().answerTime().multipliedBy(READ_TIMEOUT_FACTOR);
    Duration limit = usual.compareTo(MIN_READ_TIMEOUT) > 0 ? usual : MIN_READ_TIMEOUT;
    return earlier(dependencies.clock().instant().plus(limit), deadline);
  }

  private static Instant earlier(Instant first, Instant second) {
    return first.isBefore(second) ? first : second;
  }

  /** Records the primary's log position from an answer, unless it may be a former primary's. */
  void recordPrimaryPosition(EndpointPool pool, Instant sentAt, Answer answer) {
    if (!isStillPrimary(pool)) {
      return;
    }
    answer
        .position()
        .ifPresent(
            position ->
                dependencies
                    .groupStates()
                    .of(group)
                    .recordPosition(pool.entry().id(), sentAt, position));
  }

  /** Records the position of the session's own write. */
  void recordWrite(Answer answer) {
    answer.position().ifPresent(position -> session.recordWrite(group, position));
  }

  Position lastWrite() {
    return session.lastWrite(group);
  }

  /** Reports an endpoint whose answer, or lack of one, shows that it may not be the primary. */
  void suspectPrimary(EndpointPool pool, String reason) {
    dependencies.suspicionListener().suspect(group, pool.entry().id(), reason);
  }

  /**
   * Returns an outcome that allows another attempt.
   *
   * @param elsewhere whether to avoid this endpoint; otherwise it may be tried again after a pause
   */
  static AttemptOutcome retry(Failure failure, EndpointPool pool, boolean elsewhere) {
    return new AttemptOutcome.Retry(
        failure, elsewhere ? Optional.of(pool.entry().id()) : Optional.empty());
  }

  /** Returns the failure of commands that were not answered and may have run. */
  static Failure unanswered(EndpointPool pool, CommandResult result) {
    return result instanceof CommandResult.Lost(String reason)
        ? new Failure(
            ErrorKind.CONNECTION_LOST,
            "the connection to endpoint " + pool.entry().id() + " was lost: " + reason)
        : new Failure(
            ErrorKind.DEADLINE_AFTER_START,
            "endpoint " + pool.entry().id() + " did not answer before the statement's deadline");
  }
}

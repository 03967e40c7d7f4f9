package org.mimosacleat.proxy.home;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.position.LogPosition;
import org.mimosacleat.core.statement.StatementKind;
import org.mimosacleat.proxy.endpoint.EndpointConnection;
import org.mimosacleat.proxy.endpoint.EndpointReply;
import org.mimosacleat.proxy.endpoint.QueryResult;
import org.mimosacleat.proxy.endpoint.ReplyTooLargeException;
import org.mimosacleat.wire.peer.WorkRequest;
import org.mimosacleat.wire.postgres.FrameWriter;
import org.mimosacleat.wire.postgres.Frames;
import org.mimosacleat.wire.postgres.admin.EndpointStatements;

/**
 * Runs one batch on one connection and tells what is known if it fails. The question for the commit
 * position is sent right behind a batch that may commit, so that it costs no further round trip.
 */
final class BatchRunner {
  private static final byte[] POSITION_QUESTION =
      FrameWriter.encode(List.of(Frames.query(EndpointStatements.CURRENT_POSITION)));
  private static final Duration CANCEL_TIMEOUT = Duration.ofSeconds(1);

  private final InstantSource clock;
  private final RecordedRequests recorded;

  BatchRunner(InstantSource clock) {
    this.clock = clock;
    this.recorded = new RecordedRequests(clock);
  }

  /**
   * Runs the batch. After a failure the connection must be discarded.
   *
   * @param onPrimary whether the connection leads to the primary
   */
  Either<Failure, BatchResult> run(
      EndpointConnection connection, WorkRequest request, boolean onPrimary, Instant deadline) {
    Optional<Failure> unprepared = prepare(connection, request, deadline);
    if (unprepared.isPresent()) {
      return Either.left(unprepared.get());
    }
    boolean isRecorded =
        request.requestId().isPresent()
            && !request.isInTransaction()
            && request.kind() == StatementKind.WRITE;
    if (isRecorded) {
      return recorded.run(connection, request, deadline);
    }
    boolean askPosition = onPrimary && mayCommit(request.kind());
    try {
      connection.send(askPosition ? withQuestion(request.frames()) : request.frames());
      EndpointReply reply = connection.receive(timeLeft(deadline));
      Optional<LogPosition> position =
          askPosition ? Optional.of(position(connection, deadline)) : Optional.empty();
      return Either.right(new BatchResult(reply, position));
    } catch (SocketTimeoutException late) {
      connection.cancel(CANCEL_TIMEOUT);
      return failure(ErrorKind.DEADLINE_AFTER_START, "the deadline passed while the batch ran");
    } catch (ReplyTooLargeException tooLarge) {
      return failure(ErrorKind.ANSWER_TOO_LARGE, tooLarge.getMessage());
    } catch (IOException lost) {
      return failure(
          ErrorKind.CONNECTION_LOST,
          "the connection to endpoint "
              + connection.endpoint()
              + " was lost while the batch ran: "
              + lost.getMessage());
    }
  }

  /** Makes the session's settings on the connection if another session's are there. */
  private Optional<Failure> prepare(
      EndpointConnection connection, WorkRequest request, Instant deadline) {
    if (request.isInTransaction() || connection.sessionSettings().equals(request.settings())) {
      return Optional.empty();
    }
    try {
      connection.query("DISCARD ALL", timeLeft(deadline));
      if (!request.settings().isEmpty()) {
        connection.query(String.join("; ", request.settings()), timeLeft(deadline));
      }
      connection.setSessionSettings(request.settings());
      return Optional.empty();
    } catch (IOException failed) {
      return Optional.of(
          new Failure(
              ErrorKind.UNAVAILABLE,
              "the session's settings could not be made on endpoint "
                  + connection.endpoint()
                  + ": "
                  + failed.getMessage()));
    }
  }

  private static boolean mayCommit(StatementKind kind) {
    return kind.canWrite();
  }

  private static byte[] withQuestion(byte[] frames) {
    byte[] both = new byte[frames.length + POSITION_QUESTION.length];
    System.arraycopy(frames, 0, both, 0, frames.length);
    System.arraycopy(POSITION_QUESTION, 0, both, frames.length, POSITION_QUESTION.length);
    return both;
  }

  private LogPosition position(EndpointConnection connection, Instant deadline) throws IOException {
    EndpointReply reply = connection.receive(timeLeft(deadline));
    if (reply.hasError()) {
      // In a failed transaction the question is refused; nothing can commit there.
      return LogPosition.START;
    }
    return LogPosition.parse(QueryResult.of(reply).first(0));
  }

  private Duration timeLeft(Instant deadline) {
    return Duration.between(clock.instant(), deadline);
  }

  private static Either<Failure, BatchResult> failure(ErrorKind kind, String detail) {
    return Either.left(new Failure(kind, detail));
  }
}

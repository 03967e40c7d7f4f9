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
import org.mimosacleat.wire.peer.BatchRequest;
import org.mimosacleat.wire.postgres.FrameWriter;
import org.mimosacleat.wire.postgres.Frames;
import org.mimosacleat.wire.postgres.admin.EndpointStatements;

/**
 * Runs one batch on one connection and, if that fails, reports what is known of its outcome. The
 * query for the commit position is pipelined after a batch that can commit, which saves a round
 * trip.
 */
final class BatchRunner {
  private static final byte[] POSITION_QUERY =
      FrameWriter.encode(List.of(Frames.query(EndpointStatements.CURRENT_POSITION)));
  private static final Duration CANCEL_TIMEOUT = Duration.ofSeconds(1);

  private final InstantSource clock;
  private final IdempotentWriteRunner idempotentWrites;

  BatchRunner(InstantSource clock) {
    this.clock = clock;
    this.idempotentWrites = new IdempotentWriteRunner(clock);
  }

  /**
   * Runs the batch. After a failure the connection must be discarded.
   *
   * @param onPrimary whether the endpoint of the connection is the primary
   */
  Either<Failure, BatchResult> run(
      EndpointConnection connection, BatchRequest request, boolean onPrimary, Instant deadline) {
    Optional<Failure> settingsFailure = applySessionSettings(connection, request, deadline);
    if (settingsFailure.isPresent()) {
      return Either.left(settingsFailure.get());
    }
    boolean isIdempotentWrite =
        request.requestId().isPresent()
            && !request.isInTransaction()
            && request.kind() == StatementKind.WRITE;
    if (isIdempotentWrite) {
      return idempotentWrites.run(connection, request, deadline);
    }
    boolean queryPosition = onPrimary && canCommit(request.kind());
    try {
      connection.send(queryPosition ? withPositionQuery(request.frames()) : request.frames());
      EndpointReply reply = connection.receive(remaining(deadline));
      Optional<LogPosition> position =
          queryPosition ? Optional.of(receivePosition(connection, deadline)) : Optional.empty();
      return Either.right(new BatchResult(reply, position));
    } catch (SocketTimeoutException timeout) {
      connection.cancel(CANCEL_TIMEOUT);
      return failure(
          ErrorKind.DEADLINE_AFTER_START,
          "the deadline passed while the batch ran; whether it took effect is not known");
    } catch (ReplyTooLargeException tooLarge) {
      return failure(ErrorKind.ANSWER_TOO_LARGE, tooLarge.getMessage());
    } catch (IOException lost) {
      return failure(
          ErrorKind.CONNECTION_LOST,
          "the connection to endpoint "
              + connection.endpoint()
              + " was lost while the batch ran, its outcome is not known: "
              + lost.getMessage());
    }
  }

  /** Applies the session's settings unless the connection already has them. */
  private Optional<Failure> applySessionSettings(
      EndpointConnection connection, BatchRequest request, Instant deadline) {
    if (request.isInTransaction()
        || connection.sessionSettings().equals(request.sessionSettings())) {
      return Optional.empty();
    }
    try {
      connection.query("DISCARD ALL", remaining(deadline));
      if (!request.sessionSettings().isEmpty()) {
        connection.query(String.join("; ", request.sessionSettings()), remaining(deadline));
      }
      connection.setSessionSettings(request.sessionSettings());
      return Optional.empty();
    } catch (IOException failed) {
      return Optional.of(
          new Failure(
              ErrorKind.UNAVAILABLE,
              "not run: the session's settings could not be applied on endpoint "
                  + connection.endpoint()
                  + ": "
                  + failed.getMessage()));
    }
  }

  private static boolean canCommit(StatementKind kind) {
    return kind.canWrite();
  }

  private static byte[] withPositionQuery(byte[] frames) {
    byte[] both = new byte[frames.length + POSITION_QUERY.length];
    System.arraycopy(frames, 0, both, 0, frames.length);
    System.arraycopy(POSITION_QUERY, 0, both, frames.length, POSITION_QUERY.length);
    return both;
  }

  private LogPosition receivePosition(EndpointConnection connection, Instant deadline)
      throws IOException {
    EndpointReply reply = connection.receive(remaining(deadline));
    if (reply.hasError()) {
      // A failed transaction refuses the position query; it can commit nothing.
      return LogPosition.START;
    }
    return LogPosition.parse(QueryResult.of(reply).firstRowValue(0));
  }

  private Duration remaining(Instant deadline) {
    return Duration.between(clock.instant(), deadline);
  }

  private static Either<Failure, BatchResult> failure(ErrorKind kind, String detail) {
    return Either.left(new Failure(kind, detail));
  }
}

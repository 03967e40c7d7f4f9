package org.mimosacleat.proxy.home;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Base64;
import java.util.HexFormat;
import java.util.Optional;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.CustomerId;
import org.mimosacleat.core.id.RequestId;
import org.mimosacleat.core.idempotency.IdempotencyDecision;
import org.mimosacleat.core.idempotency.IdempotencyPolicy;
import org.mimosacleat.core.idempotency.RecordBasedIdempotencyPolicy;
import org.mimosacleat.core.idempotency.RecordLookup;
import org.mimosacleat.core.idempotency.RecordedAnswer;
import org.mimosacleat.core.idempotency.RequestFingerprint;
import org.mimosacleat.core.idempotency.RequestRecord;
import org.mimosacleat.core.idempotency.RequestRecordStatement;
import org.mimosacleat.core.position.LogPosition;
import org.mimosacleat.proxy.endpoint.EndpointConnection;
import org.mimosacleat.proxy.endpoint.EndpointReply;
import org.mimosacleat.proxy.endpoint.QueryResult;
import org.mimosacleat.proxy.endpoint.StatementRefusedException;
import org.mimosacleat.wire.peer.WorkRequest;
import org.mimosacleat.wire.postgres.TransactionStatus;
import org.mimosacleat.wire.postgres.admin.EndpointStatements;

/**
 * Runs a write that has a request id: the id and the answer are recorded in the transaction of the
 * write, and a repeat is answered from the record. After a failure the connection must be
 * discarded.
 */
final class RecordedRequests {
  private static final String UNDEFINED_TABLE = "42P01";
  private static final String LOCK_NOT_AVAILABLE = "55P03";
  private static final int WORK = 0;
  private static final int ANSWER = 1;

  private final InstantSource clock;
  private final IdempotencyPolicy decider = new RecordBasedIdempotencyPolicy();

  RecordedRequests(InstantSource clock) {
    this.clock = clock;
  }

  /** Runs the write, or returns the recorded answer of an earlier run. */
  Either<Failure, BatchResult> run(
      EndpointConnection connection, WorkRequest request, Instant deadline) {
    RequestId id = request.requestId().orElseThrow();
    try {
      RecordLookup lookup = lookUp(connection, request, id, deadline);
      IdempotencyDecision decision =
          decider.decide(id, request.customer(), fingerprint(request), lookup);
      return switch (decision) {
        case IdempotencyDecision.Run() -> runAndRecord(connection, request, id, deadline);
        case IdempotencyDecision.ReturnRecorded(RecordedAnswer answer) ->
            recorded(connection, answer, deadline);
        case IdempotencyDecision.Refuse(Failure failure) -> {
          connection.query("ROLLBACK", left(deadline));
          yield Either.left(failure);
        }
      };
    } catch (SocketTimeoutException late) {
      return failure(ErrorKind.DEADLINE_AFTER_START, "the deadline passed while the write ran");
    } catch (IOException lost) {
      return failure(
          ErrorKind.CONNECTION_LOST,
          "the connection to endpoint "
              + connection.endpoint()
              + " was lost: "
              + lost.getMessage());
    }
  }

  private RecordLookup lookUp(
      EndpointConnection connection, WorkRequest request, RequestId id, Instant deadline)
      throws IOException {
    try {
      return insert(connection, request, id, deadline);
    } catch (StatementRefusedException refused) {
      connection.query("ROLLBACK", left(deadline));
      if (refused.sqlState().equals(LOCK_NOT_AVAILABLE)) {
        return new RecordLookup.Locked();
      }
      if (!refused.sqlState().equals(UNDEFINED_TABLE)) {
        return new RecordLookup.Failed(
            new Failure(ErrorKind.UNAVAILABLE, "the request id: " + refused.getMessage()));
      }
      connection.query(RequestRecordStatement.CREATE_TABLE.sql(), left(deadline));
      return insert(connection, request, id, deadline);
    }
  }

  private RecordLookup insert(
      EndpointConnection connection, WorkRequest request, RequestId id, Instant deadline)
      throws IOException {
    String key = RequestRecordStatement.key(request.customer(), id);
    connection.query("BEGIN", left(deadline));
    connection.query(RequestRecordStatement.LIMIT_WAIT.sql(), left(deadline));
    connection.query(
        SqlLiterals.fill(
            RequestRecordStatement.INSERT,
            key,
            fingerprint(request).value(),
            Long.toString(clock.instant().getEpochSecond())),
        left(deadline));
    QueryResult row =
        connection.query(SqlLiterals.fill(RequestRecordStatement.SELECT, key), left(deadline));
    // A committed record always has its answer, so one without is the one just inserted.
    return row.first(ANSWER).isEmpty()
        ? new RecordLookup.Inserted()
        : new RecordLookup.Existing(record(id, request.customer(), row));
  }

  private static RequestRecord record(RequestId id, CustomerId customer, QueryResult row)
      throws IOException {
    return new RequestRecord(
        id,
        customer,
        new RequestFingerprint(row.first(WORK)),
        Optional.of(new RecordedAnswer(row.first(ANSWER))));
  }

  private Either<Failure, BatchResult> runAndRecord(
      EndpointConnection connection, WorkRequest request, RequestId id, Instant deadline)
      throws IOException {
    EndpointReply reply = connection.exchange(request.frames(), left(deadline));
    if (reply.status() != TransactionStatus.OPEN) {
      // The batch failed, or it ended the transaction by itself and with it the record.
      connection.query("ROLLBACK", left(deadline));
      return Either.right(new BatchResult(idle(reply.frames(), reply), Optional.empty()));
    }
    byte[] frames = withIdleStatus(reply.frames());
    connection.query(
        SqlLiterals.fill(
            RequestRecordStatement.RECORD_ANSWER,
            RequestRecordStatement.key(request.customer(), id),
            Base64.getEncoder().encodeToString(frames)),
        left(deadline));
    connection.query("COMMIT", left(deadline));
    return Either.right(new BatchResult(idle(frames, reply), position(connection, deadline)));
  }

  /** The record itself may still be lost with its primary, so it is confirmed like a write. */
  private Either<Failure, BatchResult> recorded(
      EndpointConnection connection, RecordedAnswer answer, Instant deadline) throws IOException {
    connection.query("ROLLBACK", left(deadline));
    byte[] frames = Base64.getDecoder().decode(answer.encoded());
    return Either.right(
        new BatchResult(
            new EndpointReply(frames, TransactionStatus.IDLE, ""), position(connection, deadline)));
  }

  private Optional<LogPosition> position(EndpointConnection connection, Instant deadline)
      throws IOException {
    QueryResult result = connection.query(EndpointStatements.CURRENT_POSITION, left(deadline));
    return Optional.of(LogPosition.parse(result.first(0)));
  }

  private static EndpointReply idle(byte[] frames, EndpointReply reply) {
    return new EndpointReply(withIdleStatus(frames), TransactionStatus.IDLE, reply.errorState());
  }

  /** The status is the last byte of an answer; the caller sees no transaction of the proxy's. */
  private static byte[] withIdleStatus(byte[] frames) {
    byte[] changed = frames.clone();
    changed[changed.length - 1] = TransactionStatus.IDLE.code();
    return changed;
  }

  private static RequestFingerprint fingerprint(WorkRequest request) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      digest.update(request.group().value().getBytes(StandardCharsets.UTF_8));
      return new RequestFingerprint(HexFormat.of().formatHex(digest.digest(request.frames())));
    } catch (GeneralSecurityException missing) {
      throw new IllegalStateException("SHA-256 is missing from this runtime", missing);
    }
  }

  private Duration left(Instant deadline) {
    return Duration.between(clock.instant(), deadline);
  }

  private static Either<Failure, BatchResult> failure(ErrorKind kind, String detail) {
    return Either.left(new Failure(kind, detail));
  }
}

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
import org.mimosacleat.core.id.RequestId;
import org.mimosacleat.core.id.TeamId;
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
import org.mimosacleat.proxy.endpoint.StatementFailedException;
import org.mimosacleat.wire.peer.BatchRequest;
import org.mimosacleat.wire.postgres.TransactionStatus;
import org.mimosacleat.wire.postgres.admin.EndpointStatements;

/**
 * Runs a write that has a request id: the id and the answer are recorded in the transaction of the
 * write, and a repeated request is answered from the record. After a failure the connection must be
 * discarded.
 */
final class IdempotentWriteRunner {
  private static final String UNDEFINED_TABLE_SQL_STATE = "42P01";
  private static final String LOCK_NOT_AVAILABLE_SQL_STATE = "55P03";
  private static final int FINGERPRINT_COLUMN = 0;
  private static final int ANSWER_COLUMN = 1;

  private final InstantSource clock;
  private final IdempotencyPolicy idempotencyPolicy = new RecordBasedIdempotencyPolicy();

  IdempotentWriteRunner(InstantSource clock) {
    this.clock = clock;
  }

  /** Runs the write, or returns the recorded answer if it has run before. */
  Either<Failure, BatchResult> run(
      EndpointConnection connection, BatchRequest request, Instant deadline) {
    RequestId id = request.requestId().orElseThrow();
    try {
      RecordLookup lookup = insertOrFind(connection, request, id, deadline);
      IdempotencyDecision decision =
          idempotencyPolicy.decide(id, request.customer(), fingerprint(request), lookup);
      return switch (decision) {
        case IdempotencyDecision.Run() -> runAndRecord(connection, request, id, deadline);
        case IdempotencyDecision.ReturnRecorded(RecordedAnswer answer) ->
            returnRecorded(connection, answer, deadline);
        case IdempotencyDecision.Refuse(Failure failure) -> {
          connection.query("ROLLBACK", remaining(deadline));
          yield Either.left(failure);
        }
      };
    } catch (SocketTimeoutException timeout) {
      return failure(
          ErrorKind.DEADLINE_AFTER_START,
          "the deadline passed while the write ran; whether it took effect is not known");
    } catch (IOException lost) {
      return failure(
          ErrorKind.CONNECTION_LOST,
          "the connection to endpoint "
              + connection.endpoint()
              + " was lost, the outcome of the write is not known: "
              + lost.getMessage());
    }
  }

  private RecordLookup insertOrFind(
      EndpointConnection connection, BatchRequest request, RequestId id, Instant deadline)
      throws IOException {
    try {
      return insert(connection, request, id, deadline);
    } catch (StatementFailedException failed) {
      connection.query("ROLLBACK", remaining(deadline));
      if (failed.sqlState().equals(LOCK_NOT_AVAILABLE_SQL_STATE)) {
        return new RecordLookup.Locked();
      }
      if (!failed.sqlState().equals(UNDEFINED_TABLE_SQL_STATE)) {
        return new RecordLookup.Failed(
            new Failure(
                ErrorKind.UNAVAILABLE,
                "not run: the request id could not be recorded: " + failed.getMessage()));
      }
      connection.query(RequestRecordStatement.CREATE_TABLE.sql(), remaining(deadline));
      return insert(connection, request, id, deadline);
    }
  }

  private RecordLookup insert(
      EndpointConnection connection, BatchRequest request, RequestId id, Instant deadline)
      throws IOException {
    String key = RequestRecordStatement.key(request.customer(), id);
    connection.query("BEGIN", remaining(deadline));
    connection.query(RequestRecordStatement.LIMIT_WAIT.sql(), remaining(deadline));
    connection.query(
        SqlLiterals.fill(
            RequestRecordStatement.INSERT,
            key,
            fingerprint(request).value(),
            Long.toString(clock.instant().getEpochSecond())),
        remaining(deadline));
    QueryResult row =
        connection.query(SqlLiterals.fill(RequestRecordStatement.SELECT, key), remaining(deadline));
    // A committed record always has an answer; one without was inserted by this transaction.
    return row.firstRowValue(ANSWER_COLUMN).isEmpty()
        ? new RecordLookup.Inserted()
        : new RecordLookup.Existing(record(id, request.customer(), row));
  }

  private static RequestRecord record(RequestId id, TeamId customer, QueryResult row)
      throws IOException {
    return new RequestRecord(
        id,
        customer,
        new RequestFingerprint(row.firstRowValue(FINGERPRINT_COLUMN)),
        Optional.of(new RecordedAnswer(row.firstRowValue(ANSWER_COLUMN))));
  }

  private Either<Failure, BatchResult> runAndRecord(
      EndpointConnection connection, BatchRequest request, RequestId id, Instant deadline)
      throws IOException {
    EndpointReply reply = connection.exchange(request.frames(), remaining(deadline));
    if (reply.status() != TransactionStatus.OPEN) {
      // The batch failed, or it ended the transaction, which also contains the record.
      connection.query("ROLLBACK", remaining(deadline));
      return Either.right(new BatchResult(asIdle(reply.frames(), reply), Optional.empty()));
    }
    byte[] frames = withIdleStatus(reply.frames());
    connection.query(
        SqlLiterals.fill(
            RequestRecordStatement.RECORD_ANSWER,
            RequestRecordStatement.key(request.customer(), id),
            Base64.getEncoder().encodeToString(frames)),
        remaining(deadline));
    connection.query("COMMIT", remaining(deadline));
    return Either.right(
        new BatchResult(asIdle(frames, reply), queryPosition(connection, deadline)));
  }

  /**
   * Returns the recorded answer with the current log position. The record may still be lost with
   * the primary, so the answer is confirmed like that of a write.
   */
  private Either<Failure, BatchResult> returnRecorded(
      EndpointConnection connection, RecordedAnswer answer, Instant deadline) throws IOException {
    connection.query("ROLLBACK", remaining(deadline));
    byte[] frames = Base64.getDecoder().decode(answer.encoded());
    return Either.right(
        new BatchResult(
            new EndpointReply(frames, TransactionStatus.IDLE, ""),
            queryPosition(connection, deadline)));
  }

  private Optional<LogPosition> queryPosition(EndpointConnection connection, Instant deadline)
      throws IOException {
    QueryResult result = connection.query(EndpointStatements.CURRENT_POSITION, remaining(deadline));
    return Optional.of(LogPosition.parse(result.firstRowValue(0)));
  }

  private static EndpointReply asIdle(byte[] frames, EndpointReply reply) {
    return new EndpointReply(withIdleStatus(frames), TransactionStatus.IDLE, reply.sqlState());
  }

  /**
   * Replaces the transaction status, the last byte of an answer, by idle: the client must not see
   * the transaction that the proxy has opened.
   */
  private static byte[] withIdleStatus(byte[] frames) {
    byte[] changed = frames.clone();
    changed[changed.length - 1] = TransactionStatus.IDLE.code();
    return changed;
  }

  private static RequestFingerprint fingerprint(BatchRequest request) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      digest.update(request.group().value().getBytes(StandardCharsets.UTF_8));
      return new RequestFingerprint(HexFormat.of().formatHex(digest.digest(request.frames())));
    } catch (GeneralSecurityException missing) {
      throw new IllegalStateException("SHA-256 is not available in this Java runtime", missing);
    }
  }

  private Duration remaining(Instant deadline) {
    return Duration.between(clock.instant(), deadline);
  }

  private static Either<Failure, BatchResult> failure(ErrorKind kind, String detail) {
    return Either.left(new Failure(kind, detail));
  }
}

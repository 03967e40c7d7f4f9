package org.mimosacleat.wire.peer;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.RequestId;
import org.mimosacleat.core.id.SessionId;
import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.core.statement.StatementKind;

/**
 * One batch of a client, to be run by the home of a group.
 *
 * @param group the group
 * @param customer the customer whose allowance is charged
 * @param session the session whose writes a read must see
 * @param transaction the open transaction it belongs to, or {@link #NO_TRANSACTION}
 * @param kind what it does, as far as routing needs to know
 * @param maxStaleness the maximum staleness of a read; empty if it must see the session's writes
 * @param requestId identifies repeats of the same request
 * @param retryable whether proxies may retry it
 * @param sessionSettings statements that set up the session on a pooled connection
 * @param fingerprint the same for batches that differ only in their parameters
 * @param remainingTime the time from the receipt of the request to the client's deadline
 * @param traceParent the trace and span of the previous hop, in the W3C traceparent format
 * @param frames PostgreSQL frames; the last one is a query or a sync
 */
@SuppressWarnings("ArrayRecordComponent")
public record BatchRequest(
    GroupId group,
    TeamId customer,
    SessionId session,
    long transaction,
    StatementKind kind,
    Optional<Duration> maxStaleness,
    Optional<RequestId> requestId,
    boolean retryable,
    List<String> sessionSettings,
    long fingerprint,
    Duration remainingTime,
    String traceParent,
    byte[] frames) {
  /** Transaction number that means no open transaction. */
  public static final long NO_TRANSACTION = 0;

  /** Copies the settings. */
  public BatchRequest {
    sessionSettings = List.copyOf(sessionSettings);
  }

  /** Returns a copy with another remaining time to the deadline. */
  public BatchRequest withRemainingTime(Duration newRemainingTime) {
    return new BatchRequest(
        group,
        customer,
        session,
        transaction,
        kind,
        maxStaleness,
        requestId,
        retryable,
        sessionSettings,
        fingerprint,
        newRemainingTime,
        traceParent,
        frames);
  }

  /** Returns whether the batch belongs to an open transaction. */
  public boolean isInTransaction() {
    return transaction != NO_TRANSACTION;
  }
}

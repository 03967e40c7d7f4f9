package org.mimosacleat.wire.peer;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.mimosacleat.core.id.CustomerId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.RequestId;
import org.mimosacleat.core.id.SessionId;
import org.mimosacleat.core.statement.StatementKind;

/**
 * One batch of a caller for the home of a group.
 *
 * @param group the group
 * @param customer who is charged for it
 * @param session whose writes a read must see
 * @param transaction the open transaction it belongs to, or {@link #NO_TRANSACTION}
 * @param kind what it does
 * @param maximumAge how old the data of a read may be; empty if it must see the session's writes
 * @param requestId by which a repeat is recognised
 * @param repeatable whether the proxies may send it again
 * @param settings statements that set up the session on a pooled connection
 * @param fingerprint equal for batches that differ in their parameters only
 * @param timeLeft until the caller's deadline, counted from when the request is received
 * @param traceParent the trace and the span of the hop before, in the W3C form
 * @param frames PostgreSQL frames, ended by a query or a sync
 */
@SuppressWarnings("ArrayRecordComponent")
public record WorkRequest(
    GroupId group,
    CustomerId customer,
    SessionId session,
    long transaction,
    StatementKind kind,
    Optional<Duration> maximumAge,
    Optional<RequestId> requestId,
    boolean repeatable,
    List<String> settings,
    long fingerprint,
    Duration timeLeft,
    String traceParent,
    byte[] frames) {
  /** Stands for no open transaction. */
  public static final long NO_TRANSACTION = 0;

  /** Copies the settings. */
  public WorkRequest {
    settings = List.copyOf(settings);
  }

  /** Returns the same request with another time until the deadline. */
  public WorkRequest withTimeLeft(Duration left) {
    return new WorkRequest(
        group,
        customer,
        session,
        transaction,
        kind,
        maximumAge,
        requestId,
        repeatable,
        settings,
        fingerprint,
        left,
        traceParent,
        frames);
  }

  /** Tells whether the batch belongs to an open transaction. */
  public boolean isInTransaction() {
    return transaction != NO_TRANSACTION;
  }
}

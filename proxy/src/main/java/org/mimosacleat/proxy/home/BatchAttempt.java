package org.mimosacleat.proxy.home;

import java.time.Instant;
import org.mimosacleat.core.statement.StatementKind;
import org.mimosacleat.wire.peer.BatchRequest;

/**
 * One attempt to run a batch on an endpoint.
 *
 * @param request the batch
 * @param batch handle that cancels the batch
 * @param kind the kind that the request states, or {@code WRITE} after a replica refused the batch
 *     as a write
 * @param arrivedAt when the home received the request
 * @param deadline the time by which the batch must be answered
 */
record BatchAttempt(
    BatchRequest request,
    RunningBatch batch,
    StatementKind kind,
    Instant arrivedAt,
    Instant deadline) {
  /** Returns the attempt as a write, to be routed to the primary after a replica refused it. */
  BatchAttempt asWrite() {
    return new BatchAttempt(request, batch, StatementKind.WRITE, arrivedAt, deadline);
  }
}

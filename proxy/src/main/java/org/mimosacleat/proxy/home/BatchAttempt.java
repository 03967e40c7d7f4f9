package org.mimosacleat.proxy.home;

import java.time.Instant;
import org.mimosacleat.core.statement.StatementKind;
import org.mimosacleat.wire.peer.WorkRequest;

/**
 * One batch on its way to an endpoint.
 *
 * @param request the batch
 * @param ticket by which it can be cancelled
 * @param kind as the request says, or a write where a replica refused it
 * @param arrivedAt when the home received it
 * @param deadline when its answer is of no use any more
 */
record BatchAttempt(
    WorkRequest request,
    WorkTicket ticket,
    StatementKind kind,
    Instant arrivedAt,
    Instant deadline) {
  /** Returns the attempt for the primary, after a replica refused to write. */
  BatchAttempt asWrite() {
    return new BatchAttempt(request, ticket, StatementKind.WRITE, arrivedAt, deadline);
  }
}

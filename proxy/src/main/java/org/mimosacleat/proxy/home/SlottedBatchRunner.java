package org.mimosacleat.proxy.home;

import io.vavr.control.Either;
import java.time.InstantSource;
import java.util.Set;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.schedule.Fingerprint;
import org.mimosacleat.core.schedule.Ticket;
import org.mimosacleat.core.schedule.Work;
import org.mimosacleat.proxy.endpoint.EndpointConnection;
import org.mimosacleat.wire.peer.BatchRequest;

/**
 * Runs a batch on a connection once a slot of the endpoint is free. A batch within an open
 * transaction needs no slot: statements that wait for the transaction's locks may hold all slots,
 * so waiting for one could deadlock.
 */
final class SlottedBatchRunner {
  private final StatementSlots slots;
  private final Admission admission;
  private final BatchRunner runner;

  SlottedBatchRunner(InstantSource clock, StatementSlots slots, Admission admission) {
    this.slots = slots;
    this.admission = admission;
    this.runner = new BatchRunner(clock);
  }

  /** Borrows a connection; called once a slot is held. */
  @FunctionalInterface
  interface ConnectionSource {
    Either<Failure, EndpointConnection> borrow();
  }

  /**
   * Waits for a slot, then for a connection, and runs the batch. If it fails after a connection was
   * borrowed, the connection of the {@link SlottedBatchResult} must be discarded.
   */
  SlottedBatchResult run(
      BatchAttempt attempt, EndpointId endpoint, boolean onPrimary, ConnectionSource source) {
    if (attempt.request().isInTransaction()) {
      return borrowAndRun(attempt, onPrimary, source);
    }
    Either<Failure, Ticket> slot = slots.acquire(work(attempt, endpoint));
    if (slot.isLeft()) {
      return SlottedBatchResult.notSent(slot.getLeft());
    }
    boolean hasAnswer = false;
    try {
      SlottedBatchResult result = borrowAndRun(attempt, onPrimary, source);
      hasAnswer = result.result().isRight();
      return result;
    } finally {
      slots.release(slot.get(), endpoint, hasAnswer);
    }
  }

  private SlottedBatchResult borrowAndRun(
      BatchAttempt attempt, boolean onPrimary, ConnectionSource source) {
    Either<Failure, EndpointConnection> connection = source.borrow();
    if (connection.isLeft()) {
      return SlottedBatchResult.notSent(connection.getLeft());
    }
    return SlottedBatchResult.sent(connection.get(), runOn(connection.get(), attempt, onPrimary));
  }

  private Either<Failure, BatchResult> runOn(
      EndpointConnection connection, BatchAttempt attempt, boolean onPrimary) {
    attempt.batch().batchStarted(connection);
    try {
      return runner.run(connection, attempt.request(), onPrimary, attempt.deadline());
    } finally {
      attempt.batch().batchEnded();
    }
  }

  private Work work(BatchAttempt attempt, EndpointId endpoint) {
    BatchRequest request = attempt.request();
    return new Work(
        request.customer(),
        admission.weightOf(request.customer()),
        new Fingerprint(request.fingerprint()),
        Set.of(endpoint),
        attempt.deadline(),
        false);
  }
}

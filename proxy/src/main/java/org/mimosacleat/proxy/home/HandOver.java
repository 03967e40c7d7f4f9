package org.mimosacleat.proxy.home;

import java.time.Instant;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.wire.peer.WorkRequest;

/**
 * A planned change of home that cuts off nothing: first open transactions end while no new ones
 * begin, then the last batches are answered, then the lease goes over.
 */
final class HandOver {
  private final VmId to;
  private final Instant transactionDeadline;
  private final AtomicBoolean refusesNewBatches = new AtomicBoolean();

  /**
   * Begins.
   *
   * @param transactionDeadline when open transactions are waited for no longer
   */
  HandOver(VmId to, Instant transactionDeadline) {
    this.to = to;
    this.transactionDeadline = transactionDeadline;
  }

  VmId to() {
    return to;
  }

  /** Tells whether the batch may still begin here. */
  boolean accepts(WorkRequest request) {
    if (request.isInTransaction()) {
      return true;
    }
    boolean opensTransaction =
        switch (request.kind()) {
          case BEGIN, BEGIN_READ_ONLY -> true;
          default -> false;
        };
    return !refusesNewBatches.get() && !opensTransaction;
  }

  /** Tells whether the lease may go over now; call it again until it does. */
  boolean isReady(OpenTransactions transactions, AtomicInteger batchesInFlight, Instant now) {
    boolean deadlinePassed = !now.isBefore(transactionDeadline);
    if (transactions.count() > 0 && !deadlinePassed) {
      return false;
    }
    refusesNewBatches.set(true);
    return batchesInFlight.get() == 0 || deadlinePassed;
  }
}

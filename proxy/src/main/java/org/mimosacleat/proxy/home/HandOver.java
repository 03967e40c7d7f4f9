package org.mimosacleat.proxy.home;

import java.time.Instant;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.wire.peer.BatchRequest;

/**
 * A planned transfer of a group's home that aborts no work in progress: first the open transactions
 * end while no new ones may begin, then the batches in flight are answered, then the lease is
 * handed over. After the deadline it no longer waits for either.
 */
final class HandOver {
  private final VmId to;
  private final Instant transactionDeadline;
  private final AtomicBoolean refusesNewBatches = new AtomicBoolean();

  /**
   * Starts to refuse new transactions.
   *
   * @param to the VM that receives the lease
   * @param transactionDeadline when the handover stops waiting for open transactions
   */
  HandOver(VmId to, Instant transactionDeadline) {
    this.to = to;
    this.transactionDeadline = transactionDeadline;
  }

  VmId to() {
    return to;
  }

  /** Returns whether the batch may still start at this home. */
  boolean accepts(BatchRequest request) {
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

  /**
   * Returns whether the lease may be handed over now. Once no transaction is open, or the deadline
   * has passed, this also refuses batches outside of transactions. Call it repeatedly until it
   * returns true.
   */
  boolean isReady(OpenTransactions transactions, AtomicInteger batchesInFlight, Instant now) {
    boolean deadlinePassed = !now.isBefore(transactionDeadline);
    if (transactions.count() > 0 && !deadlinePassed) {
      return false;
    }
    refusesNewBatches.set(true);
    return batchesInFlight.get() == 0 || deadlinePassed;
  }
}

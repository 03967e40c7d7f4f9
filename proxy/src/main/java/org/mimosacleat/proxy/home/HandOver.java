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
  private final Instant giveUpAt;
  private final AtomicBoolean closed = new AtomicBoolean();

  /**
   * Begins.
   *
   * @param giveUpAt when open transactions are waited for no longer
   */
  HandOver(VmId to, Instant giveUpAt) {
    this.to = to;
    this.giveUpAt = giveUpAt;
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
    return !closed.get() && !opensTransaction;
  }

  /** Tells whether the lease may go over now; call it again until it does. */
  boolean isReady(OpenTransactions transactions, AtomicInteger inFlight, Instant now) {
    boolean late = !now.isBefore(giveUpAt);
    if (transactions.count() > 0 && !late) {
      return false;
    }
    closed.set(true);
    return inFlight.get() == 0 || late;
  }
}

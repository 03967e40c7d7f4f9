package org.mimosacleat.core.store;

import java.time.Instant;
import org.mimosacleat.core.check.Checks;

/** The decision of a {@link StoreRateLimiter} on one request. */
public sealed interface StorePermit {
  /** The request may be sent now; its result must be reported to the gate. */
  record Granted() implements StorePermit {}

  /**
   * The request may not be sent yet.
   *
   * @param retryAt when to call {@link StoreRateLimiter#tryAcquire()} again
   */
  record Deferred(Instant retryAt) implements StorePermit {
    /** Validates the time. */
    public Deferred {
      Checks.notNull("time of retry", retryAt);
    }
  }
}

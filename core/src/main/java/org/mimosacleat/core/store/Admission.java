package org.mimosacleat.core.store;

import java.time.Instant;
import org.mimosacleat.core.check.Checks;

/** The decision of a {@link StoreGate} on one request. */
public sealed interface Admission {
  /** The request may be sent now; its result must be reported to the gate. */
  record Admitted() implements Admission {}

  /**
   * The request may not be sent yet.
   *
   * @param retryAt when to call {@link StoreGate#admit()} again
   */
  record Deferred(Instant retryAt) implements Admission {
    /** Validates the time. */
    public Deferred {
      Checks.notNull("time of retry", retryAt);
    }
  }
}

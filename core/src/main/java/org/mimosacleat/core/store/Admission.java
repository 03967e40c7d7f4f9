package org.mimosacleat.core.store;

import java.time.Instant;
import org.mimosacleat.core.check.Checks;

/** The answer of a {@link StoreGate}. */
public sealed interface Admission {
  /** The request may be sent now, and its result must be reported to the gate. */
  record Admitted() implements Admission {}

  /**
   * The request may not be sent yet.
   *
   * @param retryAt when to ask again
   */
  record Deferred(Instant retryAt) implements Admission {
    /** Checks the time. */
    public Deferred {
      Checks.notNull("time of retry", retryAt);
    }
  }
}

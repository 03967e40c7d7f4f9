package org.mimosacleat.core.retry;

import java.time.Instant;
import java.util.Optional;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.error.Outcome;

/**
 * The failed attempts of one request so far. Immutable.
 *
 * @param idempotent whether the work may be sent twice: a read, or work with a request id
 * @param deadline when the client stops waiting
 * @param failed the number of failed attempts
 * @param sent whether any attempt was sent to an endpoint
 * @param indeterminateFailure the latest failure of an attempt that may have run, if any
 */
public record Attempts(
    boolean idempotent,
    Instant deadline,
    int failed,
    boolean sent,
    Optional<Failure> indeterminateFailure) {
  /** Validates the components. */
  public Attempts {
    Checks.notNull("deadline", deadline);
    Checks.notNegative("failed attempts", failed);
    Checks.notNull("undecided failure", indeterminateFailure);
  }

  /** Returns the initial state, without any attempt. */
  public static Attempts none(boolean idempotent, Instant deadline) {
    return new Attempts(idempotent, deadline, 0, false, Optional.empty());
  }

  /**
   * Returns a copy with one more failed attempt.
   *
   * @param wasSent whether any work of the attempt was sent to an endpoint
   */
  public Attempts with(Failure failure, boolean wasSent) {
    boolean certainlyNotRun = failure.kind().outcome() == Outcome.NOT_RUN;
    return new Attempts(
        idempotent,
        deadline,
        failed + 1,
        sent || wasSent,
        certainlyNotRun ? indeterminateFailure : Optional.of(failure));
  }
}

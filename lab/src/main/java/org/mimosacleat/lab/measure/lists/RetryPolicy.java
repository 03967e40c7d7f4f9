package org.mimosacleat.lab.measure.lists;

import java.time.Instant;
import java.util.Optional;

/** Schedules the requests of one process to the store while the process has pending work. */
interface RetryPolicy {
  /** Returns the time until which a request is deferred, or empty if it may be sent now. */
  Optional<Instant> deferredUntil();

  /** Records the result of a request and returns the time of the next attempt. */
  Instant recordResult(boolean answered);
}

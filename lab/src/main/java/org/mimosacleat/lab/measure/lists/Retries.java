package org.mimosacleat.lab.measure.lists;

import java.time.Instant;
import java.util.Optional;

/** How one process with work waiting times its requests to the store. */
interface Retries {
  /** Returns when to ask again, or empty if a request is sent now. */
  Optional<Instant> waitUntil();

  /** Takes the result of a request and returns when to ask for the next. */
  Instant report(boolean answered);
}

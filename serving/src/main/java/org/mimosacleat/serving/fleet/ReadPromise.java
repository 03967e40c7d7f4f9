package org.mimosacleat.serving.fleet;

import java.time.Duration;

/** The consistency that reads on a route require: which writes a read may miss. */
public sealed interface ReadPromise {
  /** A read sees every write that was acknowledged before the read. */
  record Latest() implements ReadPromise {}

  /**
   * Bounded staleness: a read may miss writes acknowledged within this time before the read.
   *
   * @param maximumAge how old the data may be
   */
  record Bounded(Duration maximumAge) implements ReadPromise {}

  /**
   * Bounded staleness as in {@link Bounded}, but a read sees all writes of its own session.
   *
   * @param maximumAge how old the data may be
   */
  record OwnWrites(Duration maximumAge) implements ReadPromise {}
}

package org.mimosacleat.serving.fleet;

import java.time.Duration;

/** The consistency that reads on a route require: which writes a read may miss. */
public sealed interface ReadConsistency {
  /** A read sees every write that was acknowledged before the read. */
  record Latest() implements ReadConsistency {}

  /**
   * Bounded staleness: a read may miss writes acknowledged within this time before the read.
   *
   * @param maxStaleness how old the data may be
   */
  record BoundedStaleness(Duration maxStaleness) implements ReadConsistency {}

  /**
   * Bounded staleness as in {@link BoundedStaleness}, but a read sees all writes of its own
   * session.
   *
   * @param maxStaleness how old the data may be
   */
  record ReadYourWrites(Duration maxStaleness) implements ReadConsistency {}
}

package org.mimosacleat.serving.fleet;

import java.time.Duration;

/** What a read on a route may miss. */
public sealed interface ReadPromise {
  /** Nothing that was acknowledged before it. */
  record Latest() implements ReadPromise {}

  /**
   * Only what was acknowledged within this time before it.
   *
   * @param maximumAge how old the data may be
   */
  record Bounded(Duration maximumAge) implements ReadPromise {}

  /**
   * As {@link Bounded}, but nothing that its own session wrote.
   *
   * @param maximumAge how old the data may be
   */
  record OwnWrites(Duration maximumAge) implements ReadPromise {}
}

package org.mimosacleat.core.time;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.concurrent.atomic.AtomicReference;

/**
 * A clock that stands still until it is advanced. Tests, fuzzing and measurements give it to the
 * decisions in place of the runtime's clock.
 */
public final class PausedClock extends Clock {
  private final AtomicReference<Instant> now;

  /** Starts at {@code start}. */
  public PausedClock(Instant start) {
    this.now = new AtomicReference<>(start);
  }

  /** Starts at the first of January 2026. */
  public PausedClock() {
    this(Instant.parse("2026-01-01T00:00:00Z"));
  }

  /** Moves the time forward and returns the new time. */
  public Instant advance(Duration step) {
    if (step.isNegative()) {
      throw new IllegalArgumentException("step must not be negative, but was " + step);
    }
    return now.updateAndGet(instant -> instant.plus(step));
  }

  @Override
  public Instant instant() {
    return now.get();
  }

  @Override
  public ZoneId getZone() {
    return ZoneOffset.UTC;
  }

  /** Returns this clock, since it has no zone but UTC. */
  @Override
  public Clock withZone(ZoneId zone) {
    return this;
  }
}

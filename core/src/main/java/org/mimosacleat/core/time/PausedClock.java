package org.mimosacleat.core.time;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.concurrent.atomic.AtomicReference;

/**
 * A clock that only moves when it is advanced. Tests, fuzzing and measurements use it in place of
 * the system clock.
 */
public final class PausedClock extends Clock {
  private final AtomicReference<Instant> now;

  /** Creates a clock that shows {@code start}. */
  public PausedClock(Instant start) {
    this.now = new AtomicReference<>(start);
  }

  /** Creates a clock that shows 1 January 2026, 00:00 UTC. */
  public PausedClock() {
    this(Instant.parse("2026-01-01T00:00:00Z"));
  }

  /** Advances the clock by {@code step} and returns the new time. */
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

  /** Returns this clock, which supports only UTC. */
  @Override
  public Clock withZone(ZoneId zone) {
    return this;
  }
}

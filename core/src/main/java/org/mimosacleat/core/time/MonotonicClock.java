package org.mimosacleat.core.time;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;

/**
 * A clock for leases, deadlines and timeouts. It is initialised from the wall clock and then
 * advances with {@link System#nanoTime()}, so that a step of the wall clock does not move a lease.
 */
public final class MonotonicClock extends Clock {
  private final Instant start = Instant.now();
  private final long startNanoseconds = System.nanoTime();

  @Override
  public Instant instant() {
    return start.plusNanos(System.nanoTime() - startNanoseconds);
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

package org.mimosacleat.core.time;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;

/**
 * The runtime's clock for leases, deadlines and time-outs: it starts at the wall clock's time and
 * from then on follows the runtime's monotonic timer, so that a step of the wall clock moves no
 * lease.
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

  /** Returns this clock, since it has no zone but UTC. */
  @Override
  public Clock withZone(ZoneId zone) {
    return this;
  }
}

package org.mimosacleat.core.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.atomic.LongAdder;

/** Measures how many operations per second have recently been requested. Thread-safe. */
final class DemandMeter {
  private static final double NANOSECONDS_PER_SECOND = 1e9;
  private static final double WINDOW_SECONDS = 0.5;

  /** A shorter time gives too coarse a rate. */
  private static final double MIN_SECONDS = 0.2;

  private final LongAdder requested = new LongAdder();
  private Instant windowStart;
  private double previousRate;

  DemandMeter(Instant now) {
    this.windowStart = now;
  }

  void record() {
    requested.increment();
  }

  /** Returns the larger rate of the last complete and the present window, in units. */
  synchronized long units(Instant now) {
    double seconds = Duration.between(windowStart, now).toNanos() / NANOSECONDS_PER_SECOND;
    double rate = requested.sum() / Math.max(MIN_SECONDS, seconds);
    double larger = Math.max(rate, previousRate);
    if (seconds >= WINDOW_SECONDS) {
      requested.reset();
      windowStart = now;
      previousRate = rate;
    }
    return (long) Math.ceil(larger * TeamLimit.UNIT_SECONDS);
  }
}

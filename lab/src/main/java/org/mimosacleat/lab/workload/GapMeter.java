package org.mimosacleat.lab.workload;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicReference;

/** Measures the longest time between two acknowledged writes of one database. */
final class GapMeter {
  private final AtomicReference<Reading> reading;

  GapMeter(Instant start) {
    this.reading = new AtomicReference<>(new Reading(start, Duration.ZERO));
  }

  void acknowledge(Instant now) {
    reading.updateAndGet(present -> present.with(now));
  }

  /** Returns the longest gap, the one that is open at {@code now} included. */
  Duration longest(Instant now) {
    return reading.get().with(now).longest();
  }

  private record Reading(Instant last, Duration longest) {
    Reading with(Instant now) {
      if (!now.isAfter(last)) {
        return this;
      }
      Duration gap = Duration.between(last, now);
      return new Reading(now, gap.compareTo(longest) > 0 ? gap : longest);
    }
  }
}

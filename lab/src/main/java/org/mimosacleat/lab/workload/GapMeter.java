package org.mimosacleat.lab.workload;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicReference;

/** Measures the longest time between two acknowledged writes of one database. */
final class GapMeter {
  private final AtomicReference<State> state;

  GapMeter(Instant start) {
    this.state = new AtomicReference<>(new State(start, Duration.ZERO));
  }

  void recordAcknowledgement(Instant now) {
    state.updateAndGet(current -> current.withAcknowledgement(now));
  }

  /** Returns the longest gap, including the one still open at {@code now}. */
  Duration longestGap(Instant now) {
    return state.get().withAcknowledgement(now).longestGap();
  }

  private record State(Instant lastAcknowledgement, Duration longestGap) {
    State withAcknowledgement(Instant now) {
      if (!now.isAfter(lastAcknowledgement)) {
        return this;
      }
      Duration gap = Duration.between(lastAcknowledgement, now);
      return new State(now, gap.compareTo(longestGap) > 0 ? gap : longestGap);
    }
  }
}

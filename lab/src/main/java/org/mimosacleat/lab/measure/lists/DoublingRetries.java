package org.mimosacleat.lab.measure.lists;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;

/** Waits that double from 100 ms to 10 s without jitter; one request a second while answered. */
final class DoublingRetries implements Retries {
  private static final Duration FIRST = Duration.ofMillis(100);
  private static final Duration LONGEST = Duration.ofSeconds(10);
  private static final Duration STEADY = Duration.ofSeconds(1);

  private final InstantSource clock;
  private Duration next = FIRST;

  DoublingRetries(InstantSource clock) {
    this.clock = clock;
  }

  @Override
  public Optional<Instant> waitUntil() {
    return Optional.empty();
  }

  @Override
  public Instant report(boolean answered) {
    if (answered) {
      next = FIRST;
      return clock.instant().plus(STEADY);
    }
    Duration wait = next;
    Duration doubled = next.multipliedBy(2);
    next = doubled.compareTo(LONGEST) > 0 ? LONGEST : doubled;
    return clock.instant().plus(wait);
  }
}

package org.mimosacleat.lab.measure.lists;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;

/**
 * Exponential backoff without jitter, with delays that double from 100 ms to 10 s. While requests
 * succeed, one request is sent per second.
 */
final class DoublingRetryPolicy implements RetryPolicy {
  private static final Duration INITIAL_DELAY = Duration.ofMillis(100);
  private static final Duration MAX_DELAY = Duration.ofSeconds(10);
  private static final Duration SUCCESS_INTERVAL = Duration.ofSeconds(1);

  private final InstantSource clock;
  private Duration nextDelay = INITIAL_DELAY;

  DoublingRetryPolicy(InstantSource clock) {
    this.clock = clock;
  }

  @Override
  public Optional<Instant> deferredUntil() {
    return Optional.empty();
  }

  @Override
  public Instant recordResult(boolean answered) {
    if (answered) {
      nextDelay = INITIAL_DELAY;
      return clock.instant().plus(SUCCESS_INTERVAL);
    }
    Duration delay = nextDelay;
    Duration doubled = nextDelay.multipliedBy(2);
    nextDelay = doubled.compareTo(MAX_DELAY) > 0 ? MAX_DELAY : doubled;
    return clock.instant().plus(delay);
  }
}

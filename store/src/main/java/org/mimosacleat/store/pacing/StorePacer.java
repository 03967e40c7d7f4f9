package org.mimosacleat.store.pacing;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import org.mimosacleat.core.store.StorePermit;
import org.mimosacleat.core.store.StoreRateLimiter;
import org.mimosacleat.core.time.Sleeper;

/** Lets a blocking call wait for the {@link StoreRateLimiter}, within the call's timeout. */
public final class StorePacer {
  private final StoreRateLimiter gate;
  private final InstantSource clock;
  private final Sleeper sleeper;

  /** Waits for {@code gate}. */
  public StorePacer(StoreRateLimiter gate, InstantSource clock, Sleeper sleeper) {
    this.gate = gate;
    this.clock = clock;
    this.sleeper = sleeper;
  }

  /**
   * Waits until a request may be sent.
   *
   * @return the time left for the request, or empty if the gate opens only after the timeout
   */
  public Optional<Duration> await(Duration timeout) {
    Instant deadline = clock.instant().plus(timeout);
    while (gate.tryAcquire() instanceof StorePermit.Deferred(Instant retryAt)) {
      if (!retryAt.isBefore(deadline) || Thread.currentThread().isInterrupted()) {
        return Optional.empty();
      }
      sleeper.sleep(Duration.between(clock.instant(), retryAt));
    }
    return Optional.of(Duration.between(clock.instant(), deadline));
  }

  /** Reports whether the store answered the request. */
  public void report(boolean answered) {
    if (answered) {
      gate.recordSuccess();
    } else {
      gate.recordFailure();
    }
  }
}

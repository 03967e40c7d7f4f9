package org.mimosacleat.store.pacing;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import org.mimosacleat.core.store.StorePermit;
import org.mimosacleat.core.store.StoreRateLimiter;
import org.mimosacleat.core.time.Sleeper;

/**
 * Delays blocking calls until the {@link StoreRateLimiter} admits them, at most for the call's
 * timeout.
 */
public final class StorePacer {
  private final StoreRateLimiter rateLimiter;
  private final InstantSource clock;
  private final Sleeper sleeper;

  /** Creates a pacer for the requests that {@code gate} limits. */
  public StorePacer(StoreRateLimiter rateLimiter, InstantSource clock, Sleeper sleeper) {
    this.rateLimiter = rateLimiter;
    this.clock = clock;
    this.sleeper = sleeper;
  }

  /**
   * Waits until a request may be sent.
   *
   * @return the time left for the request, or empty if the gate does not admit it within the
   *     timeout or the thread is interrupted while it waits
   */
  public Optional<Duration> await(Duration timeout) {
    Instant deadline = clock.instant().plus(timeout);
    while (rateLimiter.tryAcquire() instanceof StorePermit.Deferred(Instant retryAt)) {
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
      rateLimiter.recordSuccess();
    } else {
      rateLimiter.recordFailure();
    }
  }
}

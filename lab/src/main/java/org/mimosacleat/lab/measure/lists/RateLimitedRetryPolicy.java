package org.mimosacleat.lab.measure.lists;

import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.mimosacleat.core.store.StoreLimits;
import org.mimosacleat.core.store.StorePermit;
import org.mimosacleat.core.store.StoreRateLimiter;

/** Retries that are scheduled by the production {@link StoreRateLimiter}. */
final class RateLimitedRetryPolicy implements RetryPolicy {
  private final InstantSource clock;
  private final StoreRateLimiter rateLimiter;

  RateLimitedRetryPolicy(StoreLimits limits, InstantSource clock, RandomGenerator random) {
    this.clock = clock;
    this.rateLimiter = new StoreRateLimiter(limits, clock, random);
  }

  @Override
  public Optional<Instant> deferredUntil() {
    return switch (rateLimiter.tryAcquire()) {
      case StorePermit.Granted _ -> Optional.empty();
      case StorePermit.Deferred(Instant retryAt) -> Optional.of(retryAt);
    };
  }

  @Override
  public Instant recordResult(boolean answered) {
    if (answered) {
      rateLimiter.recordSuccess();
    } else {
      rateLimiter.recordFailure();
    }
    return clock.instant();
  }
}

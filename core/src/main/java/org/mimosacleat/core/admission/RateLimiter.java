package org.mimosacleat.core.admission;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Limits statements per second with a token bucket that is refilled slightly below the rate.
 *
 * <p>The bucket holds a burst of {@value #BURST_SECONDS} seconds of the rate and refills at {@value
 * #REFILL_FACTOR} of it, so any second admits at most 1.05 times the rate and any 10 seconds at
 * most 10 times the rate. Below 20 statements per second the burst is one statement. Thread-safe
 * and lock-free.
 */
public final class RateLimiter {
  private static final double BURST_SECONDS = 0.05;
  private static final double REFILL_FACTOR = 0.995;
  private static final double NANOSECONDS_PER_SECOND = 1e9;

  private final InstantSource clock;
  private final AtomicReference<Bucket> bucket;

  /** Creates a limiter with a rate of zero. */
  public RateLimiter(InstantSource clock) {
    this.clock = clock;
    this.bucket = new AtomicReference<>(new Bucket(0, 0, clock.instant()));
  }

  /** Sets the rate; tokens above the new burst are discarded, and none are added. */
  public void setRate(long statementsPerSecond) {
    Instant now = clock.instant();
    bucket.updateAndGet(old -> old.refilled(now).withRate(statementsPerSecond));
  }

  /** Takes one token; returns false if there is none. */
  public boolean tryAcquire() {
    Instant now = clock.instant();
    while (true) {
      Bucket before = bucket.get();
      Bucket refilled = before.refilled(now);
      if (refilled.tokens < 1) {
        return false;
      }
      if (bucket.compareAndSet(before, refilled.withoutOne())) {
        return true;
      }
    }
  }

  private record Bucket(long rate, double tokens, Instant refilledAt) {
    Bucket refilled(Instant now) {
      if (!now.isAfter(refilledAt)) {
        return this;
      }
      double seconds = Duration.between(refilledAt, now).toNanos() / NANOSECONDS_PER_SECOND;
      return new Bucket(rate, Math.min(burst(), tokens + seconds * rate * REFILL_FACTOR), now);
    }

    Bucket withRate(long newRate) {
      Bucket updated = new Bucket(newRate, tokens, refilledAt);
      return new Bucket(newRate, Math.min(tokens, updated.burst()), refilledAt);
    }

    Bucket withoutOne() {
      return new Bucket(rate, tokens - 1, refilledAt);
    }

    double burst() {
      return rate == 0 ? 0 : Math.max(1, rate * BURST_SECONDS);
    }
  }
}

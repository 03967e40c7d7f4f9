package org.mimosacleat.core.admission;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Limits operations per second with a token bucket that is refilled slightly below the rate.
 *
 * <p>The bucket refills at {@value #REFILL_FACTOR} of the rate. {@link #setRate} gives it a burst
 * of {@value #BURST_SECONDS} seconds of the rate, so any second admits at most 1.05 times the rate
 * and any 10 seconds at most 10 times the rate. {@link #setLimit} takes the burst as given. A burst
 * below one operation counts as one unless the rate is zero. Thread-safe and lock-free.
 */
public final class RateLimiter {
  private static final double BURST_SECONDS = 0.05;
  private static final double REFILL_FACTOR = 0.995;
  private static final double NANOSECONDS_PER_SECOND = 1e9;

  private final InstantSource clock;
  private final AtomicReference<Bucket> bucket;

  /** Creates a limiter with a rate of zero. */
  public RateLimiter(InstantSource clock) {
    this(clock, 0, 0, 0);
  }

  /**
   * Creates a limiter with a given burst.
   *
   * @param ratePerSecond operations per second, zero or more
   * @param burst the largest number of tokens
   * @param initialTokens the tokens at the start; those above the burst are discarded
   */
  public RateLimiter(
      InstantSource clock, double ratePerSecond, double burst, double initialTokens) {
    this.clock = clock;
    Bucket full = new Bucket(ratePerSecond, burst, initialTokens, clock.instant());
    this.bucket = new AtomicReference<>(full.withLimit(ratePerSecond, burst));
  }

  /** Sets the rate; tokens above the new burst are discarded, and none are added. */
  public void setRate(long statementsPerSecond) {
    setLimit(statementsPerSecond, statementsPerSecond * BURST_SECONDS);
  }

  /** Sets the rate and the burst; tokens above the burst are discarded, and none are added. */
  public void setLimit(double ratePerSecond, double burst) {
    setLimitFrom(clock.instant(), ratePerSecond, burst);
  }

  /**
   * Sets the rate and the burst with effect from an instant that may have passed: tokens since then
   * are refilled at the new rate. An instant before the last use counts as the last use.
   */
  public void setLimitFrom(Instant from, double ratePerSecond, double burst) {
    bucket.updateAndGet(old -> old.refilled(from).withLimit(ratePerSecond, burst));
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

  /** Returns the time until a token is there at the present rate; empty if the rate is zero. */
  public Optional<Duration> timeToNextToken() {
    Bucket current = bucket.get().refilled(clock.instant());
    if (current.rate <= 0) {
      return Optional.empty();
    }
    double seconds = Math.max(0, 1 - current.tokens) / (current.rate * REFILL_FACTOR);
    return Optional.of(Duration.ofNanos((long) Math.ceil(seconds * NANOSECONDS_PER_SECOND)));
  }

  private record Bucket(double rate, double burst, double tokens, Instant refilledAt) {
    Bucket refilled(Instant now) {
      if (!now.isAfter(refilledAt)) {
        return this;
      }
      double seconds = Duration.between(refilledAt, now).toNanos() / NANOSECONDS_PER_SECOND;
      double refilled = Math.min(capacity(), tokens + seconds * rate * REFILL_FACTOR);
      return new Bucket(rate, burst, refilled, now);
    }

    Bucket withLimit(double newRate, double newBurst) {
      Bucket updated = new Bucket(newRate, newBurst, tokens, refilledAt);
      return new Bucket(newRate, newBurst, Math.min(tokens, updated.capacity()), refilledAt);
    }

    Bucket withoutOne() {
      return new Bucket(rate, burst, tokens - 1, refilledAt);
    }

    double capacity() {
      return rate == 0 ? 0 : Math.max(1, burst);
    }
  }
}

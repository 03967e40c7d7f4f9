package org.mimosacleat.core.store;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicReference;
import java.util.random.RandomGenerator;

/**
 * Limits the rate of requests from a process to the platform's store, so that a large fleet does
 * not exceed the capacity of the store, in particular at the end of an outage.
 *
 * <p>Call {@link #tryAcquire()} before each request and report the result of each admitted request.
 * While the store is available, a token bucket limits the rate. After a failure one request at a
 * time is admitted, each after a wait that is uniformly distributed between zero and a bound that
 * doubles with each failure (exponential backoff with full jitter). After the outage the rate rises
 * linearly to the steady rate. Thread-safe.
 */
public final class StoreRateLimiter {
  private static final int MAX_DOUBLINGS = 30;
  private static final double NANOSECONDS_PER_SECOND = 1e9;

  private final StoreLimits limits;
  private final InstantSource clock;
  private final RandomGenerator random;
  private final AtomicReference<RateLimiterState> state;

  /**
   * Creates a gate that assumes the store is available.
   *
   * @param limits the limits of this process
   * @param clock the clock for rates and waits
   * @param random the source of jitter; must be thread-safe if several threads use the gate
   */
  public StoreRateLimiter(StoreLimits limits, InstantSource clock, RandomGenerator random) {
    this.limits = limits;
    this.clock = clock;
    this.random = random;
    this.state = new AtomicReference<>(RateLimiterState.initial(clock.instant(), limits));
  }

  /** Decides on one request; the result of an admitted request must be reported. */
  public StorePermit tryAcquire() {
    while (true) {
      RateLimiterState current = state.get();
      Instant now = clock.instant();
      Decision decision =
          current.isDown() ? admitWhileDown(current, now) : admitWhileAvailable(current, now);
      if (state.compareAndSet(current, decision.next())) {
        return decision.permit();
      }
    }
  }

  /** Reports that the store answered, regardless of the content of the answer. */
  public void recordSuccess() {
    Instant now = clock.instant();
    state.updateAndGet(current -> current.isDown() ? current.afterRecovery(now) : current);
  }

  /** Reports that the store did not answer, or that it was overloaded. */
  public void recordFailure() {
    Instant now = clock.instant();
    double fraction = random.nextDouble();
    state.updateAndGet(
        current -> current.afterFailure(now.plus(backoff(current.failures(), fraction))));
  }

  /** Returns whether the last result was a failure. */
  public boolean isDown() {
    return state.get().isDown();
  }

  private record Decision(StorePermit permit, RateLimiterState next) {}

  private Decision admitWhileDown(RateLimiterState current, Instant now) {
    if (now.isBefore(current.retryAt())) {
      return new Decision(new StorePermit.Deferred(current.retryAt()), current);
    }
    Instant next = now.plus(backoff(current.failures(), 1));
    return new Decision(new StorePermit.Granted(), current.withRetryAt(next));
  }

  private Decision admitWhileAvailable(RateLimiterState current, Instant now) {
    double rate = rateAt(current, now);
    double refill = seconds(Duration.between(current.refilledAt(), now)) * rate;
    double tokens = Math.min(limits.burst(), current.tokens() + Math.max(0, refill));
    RateLimiterState refilled = current.withTokens(tokens, now);
    if (tokens >= 1) {
      return new Decision(new StorePermit.Granted(), refilled.withTokens(tokens - 1, now));
    }
    double waitSeconds = (1 - tokens) / rate * (1 + random.nextDouble());
    Instant retryAt = now.plusNanos((long) (waitSeconds * NANOSECONDS_PER_SECOND));
    return new Decision(new StorePermit.Deferred(retryAt), refilled);
  }

  private double rateAt(RateLimiterState current, Instant now) {
    double rampUpSeconds = seconds(limits.rampUp());
    double secondsSinceRecovery = seconds(Duration.between(current.recoveredAt(), now));
    double minRateFraction = 0.1;
    double rateFraction =
        rampUpSeconds <= 0
            ? 1
            : Math.clamp(secondsSinceRecovery / rampUpSeconds, minRateFraction, 1);
    return limits.requestsPerSecond() * rateFraction;
  }

  private Duration backoff(int failures, double fraction) {
    double doubled =
        limits.initialBackoff().toNanos() * Math.pow(2, Math.min(failures, MAX_DOUBLINGS));
    double bound = Math.min(limits.maxBackoff().toNanos(), doubled);
    return Duration.ofNanos((long) (bound * fraction));
  }

  private static double seconds(Duration duration) {
    return duration.toNanos() / NANOSECONDS_PER_SECOND;
  }
}

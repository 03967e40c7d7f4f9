package org.mimosacleat.core.store;

import java.time.Instant;

/**
 * An immutable state of a {@link StoreRateLimiter}.
 *
 * @param tokens the number of requests that may be sent immediately
 * @param refilledAt when the tokens were last updated
 * @param failures the number of consecutive failures; zero while the store is available
 * @param retryAt while the store is down, when the next request may be sent
 * @param recoveredAt when the last outage ended; the rate ramps up from this time
 */
record RateLimiterState(
    double tokens, Instant refilledAt, int failures, Instant retryAt, Instant recoveredAt) {
  static RateLimiterState initial(Instant now, StoreLimits limits) {
    Instant rampUpCompleted = now.minus(limits.rampUp());
    return new RateLimiterState(limits.burst(), now, 0, now, rampUpCompleted);
  }

  boolean isDown() {
    return failures > 0;
  }

  RateLimiterState withTokens(double remaining, Instant now) {
    return new RateLimiterState(remaining, now, failures, retryAt, recoveredAt);
  }

  RateLimiterState withRetryAt(Instant newRetryAt) {
    return new RateLimiterState(tokens, refilledAt, failures, newRetryAt, recoveredAt);
  }

  RateLimiterState afterFailure(Instant newRetryAt) {
    return new RateLimiterState(0, refilledAt, failures + 1, newRetryAt, recoveredAt);
  }

  RateLimiterState afterRecovery(Instant now) {
    return new RateLimiterState(0, now, 0, now, now);
  }
}

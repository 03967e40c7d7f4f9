package org.mimosacleat.core.store;

import java.time.Instant;

/**
 * The state of a {@link StoreGate} at one moment.
 *
 * @param tokens the requests that may be sent at once
 * @param refilledAt when the tokens were last counted
 * @param failures consecutive failures; zero while the store answers
 * @param retryAt while the store is down, when the next request may be sent
 * @param recoveredAt when the last outage ended; the rate rises from there
 */
record GateState(
    double tokens, Instant refilledAt, int failures, Instant retryAt, Instant recoveredAt) {
  static GateState open(Instant now, StoreLimits limits) {
    Instant longAgo = now.minus(limits.rampUp());
    return new GateState(limits.burst(), now, 0, now, longAgo);
  }

  boolean isDown() {
    return failures > 0;
  }

  GateState withTokens(double remaining, Instant now) {
    return new GateState(remaining, now, failures, retryAt, recoveredAt);
  }

  GateState withRetryAt(Instant next) {
    return new GateState(tokens, refilledAt, failures, next, recoveredAt);
  }

  GateState failed(Instant next) {
    return new GateState(0, refilledAt, failures + 1, next, recoveredAt);
  }

  GateState recovered(Instant now) {
    return new GateState(0, now, 0, now, now);
  }
}

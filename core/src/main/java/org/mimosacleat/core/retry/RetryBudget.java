package org.mimosacleat.core.retry;

import java.util.concurrent.atomic.AtomicLong;

/**
 * A token bucket that limits retries to a fraction of the requests: each request deposits a part of
 * a token, and each retry withdraws a whole one.
 */
final class RetryBudget {
  private static final long MICROTOKENS_PER_RETRY = 1_000_000;

  private final long microtokensPerRequest;
  private final long capacity;
  private final AtomicLong balance;

  RetryBudget(double ratio, int burst) {
    this.microtokensPerRequest = Math.round(ratio * MICROTOKENS_PER_RETRY);
    this.capacity = burst * MICROTOKENS_PER_RETRY;
    this.balance = new AtomicLong(capacity);
  }

  void deposit() {
    balance.updateAndGet(current -> Math.min(capacity, current + microtokensPerRequest));
  }

  boolean tryWithdraw() {
    long before =
        balance.getAndUpdate(
            current ->
                current >= MICROTOKENS_PER_RETRY ? current - MICROTOKENS_PER_RETRY : current);
    return before >= MICROTOKENS_PER_RETRY;
  }
}

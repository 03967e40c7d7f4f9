package org.mimosacleat.core.retry;

import java.util.concurrent.atomic.AtomicLong;

/**
 * A token bucket that requests fill and repeats empty, so that repeats stay a share of the load.
 */
final class RetryBudget {
  private static final long PARTS_PER_REPEAT = 1_000_000;

  private final long earned;
  private final long maximum;
  private final AtomicLong parts;

  RetryBudget(double share, int burst) {
    this.earned = Math.round(share * PARTS_PER_REPEAT);
    this.maximum = burst * PARTS_PER_REPEAT;
    this.parts = new AtomicLong(maximum);
  }

  void earn() {
    parts.updateAndGet(saved -> Math.min(maximum, saved + earned));
  }

  boolean take() {
    long before =
        parts.getAndUpdate(saved -> saved >= PARTS_PER_REPEAT ? saved - PARTS_PER_REPEAT : saved);
    return before >= PARTS_PER_REPEAT;
  }
}

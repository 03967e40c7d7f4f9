package org.mimosacleat.core.retry;

import java.time.Duration;
import org.mimosacleat.core.error.Failure;

/**
 * A faulty policy that retries after every failure and reports the last one. Tests must reject it.
 */
final class AlwaysRetryPolicy implements RetryPolicy {
  private static final int MAXIMUM_ATTEMPTS = 4;

  @Override
  public void recordRequest() {}

  @Override
  public RetryDecision decide(Attempts attempts, Failure failure) {
    return attempts.failed() < MAXIMUM_ATTEMPTS
        ? new RetryDecision.RetryAfter(Duration.ZERO)
        : new RetryDecision.GiveUp(failure);
  }
}

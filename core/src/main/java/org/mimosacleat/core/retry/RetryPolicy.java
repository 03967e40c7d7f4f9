package org.mimosacleat.core.retry;

import org.mimosacleat.core.error.Failure;

/** Decides whether a failed request is retried. Implementations are thread-safe. */
public interface RetryPolicy {
  /** Records a new request, which adds a fraction of a retry to the budget. */
  void recordRequest();

  /**
   * Decides after a failed attempt.
   *
   * @param attempts all attempts, including the one that just failed
   * @param failure the failure of the last attempt
   */
  RetryDecision decide(Attempts attempts, Failure failure);
}

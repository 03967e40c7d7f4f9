package org.mimosacleat.core.retry;

import org.mimosacleat.core.error.Failure;

/** Decides about a repeat. Safe for several threads. */
public interface RetryPolicy {
  /** Counts a new request, which earns a share of a repeat. */
  void started();

  /**
   * Decides after a failed attempt.
   *
   * @param attempts all attempts, the failed one included
   * @param failure the failure of the last attempt
   */
  RetryDecision decide(Attempts attempts, Failure failure);
}

package org.mimosacleat.core.retry;

import java.time.Duration;
import org.mimosacleat.core.error.Failure;

/** What to do after a failed attempt. */
public sealed interface RetryDecision {
  /** Retry the request after the delay. */
  record RetryAfter(Duration delay) implements RetryDecision {}

  /** Answer the client with the failure, which covers the outcome of all attempts. */
  record GiveUp(Failure failure) implements RetryDecision {}
}

package org.mimosacleat.core.retry;

import java.time.Duration;
import org.mimosacleat.core.error.Failure;

/** What to do after a failed attempt. */
public sealed interface RetryDecision {
  /** Send the request again after the delay. */
  record RetryAfter(Duration delay) implements RetryDecision {}

  /** Answer the caller with the failure, which says what is known of all attempts together. */
  record GiveUp(Failure failure) implements RetryDecision {}
}

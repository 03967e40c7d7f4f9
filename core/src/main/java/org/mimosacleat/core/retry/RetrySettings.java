package org.mimosacleat.core.retry;

import java.time.Duration;
import org.mimosacleat.core.check.Checks;

/**
 * Settings of the retry policy.
 *
 * @param budgetRatio retries allowed per request, for example 0.1 for one retry per ten requests
 * @param budgetBurst the maximum number of retries that the budget can accumulate
 * @param initialBackoff the upper bound of the delay before the first retry; doubles with each
 *     retry
 * @param maximumBackoff the upper bound of the delay before any retry
 * @param minimumRemainingTime the time that must remain before the deadline when a retry is sent
 */
public record RetrySettings(
    double budgetRatio,
    int budgetBurst,
    Duration initialBackoff,
    Duration maximumBackoff,
    Duration minimumRemainingTime) {
  /** The default settings of a proxy. */
  public static final RetrySettings DEFAULT =
      new RetrySettings(
          0.1, 50, Duration.ofMillis(10), Duration.ofMillis(250), Duration.ofMillis(5));

  /** Validates the components. */
  public RetrySettings {
    Checks.between("retry budget ratio", budgetRatio, 0, 1);
    Checks.positive("retry budget burst", budgetBurst);
    Checks.positive("initial backoff in ns", initialBackoff.toNanos());
    Checks.atLeast("maximum backoff in ns", maximumBackoff.toNanos(), initialBackoff.toNanos());
    Checks.notNegative("minimum remaining time in ns", minimumRemainingTime.toNanos());
  }
}

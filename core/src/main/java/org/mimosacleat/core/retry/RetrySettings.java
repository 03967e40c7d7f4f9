package org.mimosacleat.core.retry;

import java.time.Duration;
import org.mimosacleat.core.check.Checks;

/**
 * The settings of repeats.
 *
 * @param budgetRatio repeats allowed for each request, for example 0.1 for one in ten
 * @param budgetBurst repeats that may be saved up
 * @param initialBackoff the longest wait before the first repeat; it doubles with each
 * @param maximumBackoff the longest wait before any repeat
 * @param minimumRemainingTime a repeat is not sent with less time than this before the deadline
 */
public record RetrySettings(
    double budgetRatio,
    int budgetBurst,
    Duration initialBackoff,
    Duration maximumBackoff,
    Duration minimumRemainingTime) {
  /** The settings that a proxy starts with. */
  public static final RetrySettings DEFAULT =
      new RetrySettings(
          0.1, 50, Duration.ofMillis(10), Duration.ofMillis(250), Duration.ofMillis(5));

  /** Checks the parts. */
  public RetrySettings {
    Checks.between("retry budget share", budgetRatio, 0, 1);
    Checks.positive("retry budget burst", budgetBurst);
    Checks.positive("first wait in ns", initialBackoff.toNanos());
    Checks.atLeast("maximum wait in ns", maximumBackoff.toNanos(), initialBackoff.toNanos());
    Checks.notNegative("minimum time left in ns", minimumRemainingTime.toNanos());
  }
}

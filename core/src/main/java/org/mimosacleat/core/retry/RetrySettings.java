package org.mimosacleat.core.retry;

import java.time.Duration;
import org.mimosacleat.core.check.Checks;

/**
 * The settings of repeats.
 *
 * @param budgetShare repeats allowed for each request, for example 0.1 for one in ten
 * @param budgetBurst repeats that may be saved up
 * @param firstWait the longest wait before the first repeat; it doubles with each
 * @param maximumWait the longest wait before any repeat
 * @param minimumTimeLeft a repeat is not sent with less time than this before the deadline
 */
public record RetrySettings(
    double budgetShare,
    int budgetBurst,
    Duration firstWait,
    Duration maximumWait,
    Duration minimumTimeLeft) {
  /** The settings that a proxy starts with. */
  public static final RetrySettings DEFAULT =
      new RetrySettings(
          0.1, 50, Duration.ofMillis(10), Duration.ofMillis(250), Duration.ofMillis(5));

  /** Checks the parts. */
  public RetrySettings {
    Checks.between("retry budget share", budgetShare, 0, 1);
    Checks.positive("retry budget burst", budgetBurst);
    Checks.positive("first wait in ns", firstWait.toNanos());
    Checks.atLeast("maximum wait in ns", maximumWait.toNanos(), firstWait.toNanos());
    Checks.notNegative("minimum time left in ns", minimumTimeLeft.toNanos());
  }
}

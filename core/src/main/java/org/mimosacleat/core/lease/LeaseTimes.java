package org.mimosacleat.core.lease;

import java.time.Duration;
import org.mimosacleat.core.check.Checks;

/**
 * The durations of a lease.
 *
 * @param duration how long a confirmation by an endpoint counts, from when it was asked for
 * @param margin how much earlier the holder stops by its own clock; covers clocks that run at
 *     different rates and the time from a check of the rights to the work
 * @param renewal how often the holder asks each endpoint
 * @param retry how long an unanswered question to the table service waits before it is repeated
 */
public record LeaseTimes(Duration duration, Duration margin, Duration renewal, Duration retry) {
  /** The times of the proxy. */
  public static final LeaseTimes STANDARD =
      new LeaseTimes(
          Duration.ofMillis(900),
          Duration.ofMillis(100),
          Duration.ofMillis(200),
          Duration.ofMillis(500));

  /** Checks that a holder that renews in time never lapses. */
  public LeaseTimes {
    Checks.positive("renewal in milliseconds", renewal.toMillis());
    Checks.positive("retry in milliseconds", retry.toMillis());
    Checks.notNegative("margin in milliseconds", margin.toMillis());
    Checks.atLeast(
        "lease duration in milliseconds",
        duration.toMillis(),
        margin.plus(renewal.multipliedBy(2)).toMillis());
  }
}

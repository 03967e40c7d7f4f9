package org.mimosacleat.core.lease;

import java.time.Duration;
import org.mimosacleat.core.check.Checks;

/**
 * The durations that govern a lease.
 *
 * @param duration how long a confirmation by an endpoint is valid, counted from when the request
 *     was sent
 * @param safetyMargin how much earlier the holder stops by its own clock; allows for clocks that
 *     run at different rates and for the time between a check of the rights and the work
 * @param renewalInterval the interval at which the holder renews the lease at each endpoint
 * @param retryInterval how long to wait before an unanswered request to the table service is
 *     repeated
 */
public record LeaseTimes(
    Duration duration, Duration safetyMargin, Duration renewalInterval, Duration retryInterval) {
  /** The durations that the proxy uses. */
  public static final LeaseTimes STANDARD =
      new LeaseTimes(
          Duration.ofMillis(900),
          Duration.ofMillis(100),
          Duration.ofMillis(200),
          Duration.ofMillis(500));

  /** Checks that the lease of a holder that renews in time does not expire. */
  public LeaseTimes {
    Checks.positive("renewal in milliseconds", renewalInterval.toMillis());
    Checks.positive("retry in milliseconds", retryInterval.toMillis());
    Checks.notNegative("margin in milliseconds", safetyMargin.toMillis());
    Checks.atLeast(
        "lease duration in milliseconds",
        duration.toMillis(),
        safetyMargin.plus(renewalInterval.multipliedBy(2)).toMillis());
  }
}

package org.mimosacleat.core.store;

import java.time.Duration;
import org.mimosacleat.core.check.Checks;

/**
 * The limits on the requests of one process to the store.
 *
 * @param requestsPerSecond the steady rate
 * @param burst the maximum number of requests that may be sent immediately after an idle period
 * @param initialBackoff the maximum wait after the first failure
 * @param maxBackoff the maximum wait after many failures
 * @param rampUp the time after an outage in which the rate rises to the steady rate
 */
public record StoreLimits(
    double requestsPerSecond,
    int burst,
    Duration initialBackoff,
    Duration maxBackoff,
    Duration rampUp) {
  private static final double MAX_REQUESTS_PER_SECOND = 10_000;

  /** Validates the components. */
  public StoreLimits {
    Checks.between("requests per second", requestsPerSecond, 0.001, MAX_REQUESTS_PER_SECOND);
    Checks.positive("burst", burst);
    Checks.positive("initial backoff in milliseconds", initialBackoff.toMillis());
    Checks.atLeast(
        "maximum backoff in milliseconds", maxBackoff.toMillis(), initialBackoff.toMillis());
    Checks.notNegative("ramp-up in milliseconds", rampUp.toMillis());
  }

  /**
   * Returns the limits of one process in a fleet that shares a store.
   *
   * @param processes the number of processes in the fleet
   * @param sharedRequestsPerSecond the total rate of requests that all processes may send
   */
  public static StoreLimits forFleet(int processes, double sharedRequestsPerSecond) {
    Checks.positive("processes", processes);
    double rate = Math.min(MAX_REQUESTS_PER_SECOND, sharedRequestsPerSecond / processes);
    // With full jitter the mean wait is half the bound: two intervals keep the retries at the rate.
    Duration jitterRange = Duration.ofMillis((long) Math.ceil(2000 / rate));
    Duration initial = Duration.ofMillis(Math.clamp(jitterRange.toMillis(), 100, 1000));
    Duration max = Duration.ofMillis(Math.max(5000, jitterRange.toMillis()));
    return new StoreLimits(rate, (int) Math.max(1, rate), initial, max, max);
  }
}

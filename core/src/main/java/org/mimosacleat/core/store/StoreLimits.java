package org.mimosacleat.core.store;

import java.time.Duration;
import org.mimosacleat.core.check.Checks;

/**
 * How much one process may ask of the store.
 *
 * @param requestsPerSecond the steady rate
 * @param burst the requests that may be sent at once after a quiet time
 * @param firstBackoff the longest wait after the first failure
 * @param maximumBackoff the longest wait after many failures
 * @param rampUp the time after an outage in which the rate rises from nothing to the steady rate
 */
public record StoreLimits(
    double requestsPerSecond,
    int burst,
    Duration firstBackoff,
    Duration maximumBackoff,
    Duration rampUp) {
  private static final double HIGHEST_RATE = 10_000;

  /** Checks the parts. */
  public StoreLimits {
    Checks.between("requests per second", requestsPerSecond, 0.001, HIGHEST_RATE);
    Checks.positive("burst", burst);
    Checks.positive("first backoff in milliseconds", firstBackoff.toMillis());
    Checks.atLeast(
        "maximum backoff in milliseconds", maximumBackoff.toMillis(), firstBackoff.toMillis());
    Checks.notNegative("ramp-up in milliseconds", rampUp.toMillis());
  }

  /**
   * Returns the limits for one of {@code processes} that share a store.
   *
   * @param processes the size of the fleet
   * @param sharedRequestsPerSecond what the store may be asked for by all of them
   */
  public static StoreLimits forFleet(int processes, double sharedRequestsPerSecond) {
    Checks.positive("processes", processes);
    double rate = Math.min(HIGHEST_RATE, sharedRequestsPerSecond / processes);
    Duration spread = Duration.ofMillis((long) Math.ceil(2000 / rate));
    Duration first = Duration.ofMillis(Math.clamp(spread.toMillis(), 100, 1000));
    Duration longest = Duration.ofMillis(Math.max(5000, spread.toMillis()));
    return new StoreLimits(rate, (int) Math.max(1, rate), first, longest, longest);
  }
}

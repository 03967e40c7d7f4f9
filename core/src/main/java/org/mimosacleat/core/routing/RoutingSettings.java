package org.mimosacleat.core.routing;

import java.time.Duration;
import org.mimosacleat.core.check.Checks;

/**
 * Settings of the router.
 *
 * @param maximumCatchUpWait how long after its arrival a read waits for a replica to catch up
 * @param spilloverMargin a read goes to the primary if the expected wait at the chosen replica
 *     exceeds that at the primary by more than this
 * @param zoneTolerance expected waits that differ by at most this count as equal, so that a replica
 *     in the availability zone of the home is preferred
 */
public record RoutingSettings(
    Duration maximumCatchUpWait, Duration spilloverMargin, Duration zoneTolerance) {
  /** The default settings of a proxy. */
  public static final RoutingSettings DEFAULT =
      new RoutingSettings(Duration.ofMillis(20), Duration.ofMillis(50), Duration.ofMillis(1));

  /** Validates the components. */
  public RoutingSettings {
    Checks.notNegative("maximum catch-up wait in ns", maximumCatchUpWait.toNanos());
    Checks.notNegative("spillover margin in ns", spilloverMargin.toNanos());
    Checks.notNegative("zone tolerance in ns", zoneTolerance.toNanos());
  }
}

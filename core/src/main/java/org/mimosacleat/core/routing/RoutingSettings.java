package org.mimosacleat.core.routing;

import java.time.Duration;
import org.mimosacleat.core.check.Checks;

/**
 * The settings of the router.
 *
 * @param maximumCatchUpWait how long a read waits, from its arrival, for a replica to catch up
 * @param spilloverMargin how much longer the wait at the replicas has to be than at the primary
 *     before a read goes to the primary
 * @param zoneTolerance waits that differ by at most this count as equal, so that the endpoint in
 *     the home's own availability zone is taken
 */
public record RoutingSettings(
    Duration maximumCatchUpWait, Duration spilloverMargin, Duration zoneTolerance) {
  /** The settings that a proxy starts with. */
  public static final RoutingSettings DEFAULT =
      new RoutingSettings(Duration.ofMillis(20), Duration.ofMillis(50), Duration.ofMillis(1));

  /** Validates the components. */
  public RoutingSettings {
    Checks.notNegative("maximum catch-up wait in ns", maximumCatchUpWait.toNanos());
    Checks.notNegative("spill margin in ns", spilloverMargin.toNanos());
    Checks.notNegative("zone tolerance in ns", zoneTolerance.toNanos());
  }
}

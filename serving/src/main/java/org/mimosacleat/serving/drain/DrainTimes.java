package org.mimosacleat.serving.drain;

import java.time.Duration;
import org.mimosacleat.core.check.Checks;

/**
 * How long the steps of a drain take.
 *
 * @param newClientsStayAway from reporting as not ready until no new client is sent here
 * @param grace from the order to stop until the process is killed
 */
public record DrainTimes(Duration newClientsStayAway, Duration grace) {
  /** Checks the times. */
  public DrainTimes {
    Checks.notNegative("time until new clients stay away", newClientsStayAway.toMillis());
    Checks.positive("grace period in milliseconds", grace.toMillis());
  }
}

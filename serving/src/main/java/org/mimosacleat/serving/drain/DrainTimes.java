package org.mimosacleat.serving.drain;

import java.time.Duration;
import org.mimosacleat.core.check.Checks;

/**
 * The durations of the phases of a drain.
 *
 * @param readinessDelay time from reporting not ready until no new clients arrive
 * @param grace grace period: time from the stop request until the process is killed
 */
public record DrainTimes(Duration readinessDelay, Duration grace) {
  /** Checks that the durations are in range. */
  public DrainTimes {
    Checks.notNegative(
        "time in milliseconds until no new clients arrive", readinessDelay.toMillis());
    Checks.positive("grace period in milliseconds", grace.toMillis());
  }
}

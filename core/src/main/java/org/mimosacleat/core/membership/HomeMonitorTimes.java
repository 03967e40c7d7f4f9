package org.mimosacleat.core.membership;

import java.time.Duration;
import org.mimosacleat.core.check.Checks;

/**
 * The intervals and timeouts of a {@link HomeMonitor}.
 *
 * @param heartbeatInterval how often a home sends a heartbeat to its monitors
 * @param silenceTimeout time without a message after which a monitor queries the others
 * @param queryInterval time between two queries while the silence lasts
 * @param pauseThreshold a longer gap between two ticks means that this process was paused
 */
public record HomeMonitorTimes(
    Duration heartbeatInterval,
    Duration silenceTimeout,
    Duration queryInterval,
    Duration pauseThreshold) {
  /** The values that the proxy uses. */
  public static final HomeMonitorTimes STANDARD =
      new HomeMonitorTimes(
          Duration.ofMillis(150),
          Duration.ofMillis(500),
          Duration.ofMillis(100),
          Duration.ofMillis(250));

  /** Checks that the loss of two heartbeats does not make the home count as lost. */
  public HomeMonitorTimes {
    Checks.atLeast(
        "silence in milliseconds",
        silenceTimeout.toMillis(),
        heartbeatInterval.multipliedBy(3).toMillis());
  }
}

package org.mimosacleat.core.drain;

import java.time.Duration;
import org.mimosacleat.core.check.Checks;

/**
 * The time limits of a proxy's graceful stop.
 *
 * @param holdTimeout how long new work on a group is held back until the work in flight has ended
 * @param retryDelay how long held work is released before the next attempt to hand over a home
 * @param handOverTimeout time from the signal after which homes are handed over even with work in
 *     flight
 * @param exitTimeout time from the signal after which the proxy exits even with work in flight
 */
public record ProxyDrainTimeouts(
    Duration holdTimeout, Duration retryDelay, Duration handOverTimeout, Duration exitTimeout) {
  /** The time limits that the proxy uses. */
  public static final ProxyDrainTimeouts STANDARD =
      new ProxyDrainTimeouts(
          Duration.ofMillis(300),
          Duration.ofMillis(700),
          Duration.ofSeconds(20),
          Duration.ofSeconds(30));

  /** Checks that homes are handed over no later than the proxy exits. */
  public ProxyDrainTimeouts {
    Checks.positive("hold timeout in milliseconds", holdTimeout.toMillis());
    Checks.atLeast(
        "exit timeout in milliseconds", exitTimeout.toMillis(), handOverTimeout.toMillis());
  }
}

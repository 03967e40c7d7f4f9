package org.mimosacleat.core.drain;

import java.time.Duration;
import org.mimosacleat.core.check.Checks;

/**
 * The durations of a proxy's graceful stop.
 *
 * @param hold how long new work on a group is held back while the work in flight ends
 * @param pause how long work goes on after an attempt that did not succeed
 * @param homes when homes are handed over although work is in flight, counted from the signal
 * @param whole when the proxy ends whatever is in flight, counted from the signal
 */
public record ProxyDrainTimes(Duration hold, Duration pause, Duration homes, Duration whole) {
  /** The times of the proxy. */
  public static final ProxyDrainTimes STANDARD =
      new ProxyDrainTimes(
          Duration.ofMillis(300),
          Duration.ofMillis(700),
          Duration.ofSeconds(20),
          Duration.ofSeconds(30));

  /** Checks that the homes are handed over before the end. */
  public ProxyDrainTimes {
    Checks.positive("hold in milliseconds", hold.toMillis());
    Checks.atLeast(
        "deadline of the whole stop in milliseconds", whole.toMillis(), homes.toMillis());
  }
}

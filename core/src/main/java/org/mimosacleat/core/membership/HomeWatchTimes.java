package org.mimosacleat.core.membership;

import java.time.Duration;
import org.mimosacleat.core.check.Checks;

/**
 * The durations of a home watch.
 *
 * @param heartbeat how often a home sends a heartbeat to its watchers
 * @param silence how long without a heartbeat until a watcher asks the others
 * @param repeat how long it waits before it asks again
 * @param pause a gap between two ticks from which on the watcher takes itself to have been paused
 */
public record HomeWatchTimes(
    Duration heartbeat, Duration silence, Duration repeat, Duration pause) {
  /** The times of the proxy. */
  public static final HomeWatchTimes STANDARD =
      new HomeWatchTimes(
          Duration.ofMillis(150),
          Duration.ofMillis(500),
          Duration.ofMillis(100),
          Duration.ofMillis(250));

  /** Checks that two lost heartbeats are no loss of the home. */
  public HomeWatchTimes {
    Checks.atLeast(
        "silence in milliseconds", silence.toMillis(), heartbeat.multipliedBy(3).toMillis());
  }
}

package org.mimosacleat.core.spread;

import java.time.Duration;
import org.mimosacleat.core.check.Checks;

/**
 * The durations and bounds of the spread.
 *
 * @param round how often versions are compared with one random peer
 * @param fetchTimeout how long a fetch waits before another peer is asked
 * @param shortestPoll the shortest time between two questions of one VM to the store
 * @param pollsPerSecond the most questions a second that the whole fleet puts to the store
 * @param fanout how many peers are told of a new version at once
 */
public record SpreadTimes(
    Duration round, Duration fetchTimeout, Duration shortestPoll, int pollsPerSecond, int fanout) {
  /** The times of the proxy. */
  public static final SpreadTimes STANDARD =
      new SpreadTimes(
          Duration.ofMillis(1_000), Duration.ofMillis(500), Duration.ofMillis(2_000), 100, 4);

  /** Checks the bounds. */
  public SpreadTimes {
    Checks.positive("round in milliseconds", round.toMillis());
    Checks.positive("polls per second", pollsPerSecond);
    Checks.positive("fanout", fanout);
  }

  /** Returns the mean time between two polls of one VM in a fleet of this size. */
  public Duration pollInterval(int vms) {
    Duration shared = Duration.ofMillis(1_000L * vms / pollsPerSecond);
    return shared.compareTo(shortestPoll) > 0 ? shared : shortestPoll;
  }
}

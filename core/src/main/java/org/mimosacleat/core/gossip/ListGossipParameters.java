package org.mimosacleat.core.gossip;

import java.time.Duration;
import org.mimosacleat.core.check.Checks;

/**
 * The intervals, timeouts and limits of list dissemination.
 *
 * @param roundInterval time between two comparisons of versions with a random peer
 * @param fetchTimeout time after which an unanswered fetch may be sent to another peer
 * @param minPollInterval the shortest mean time between two polls of the store by one VM
 * @param fleetPollsPerSecond the maximum mean rate of store polls by the whole fleet
 * @param fanout number of peers to which a VM announces a new version
 */
public record ListGossipParameters(
    Duration roundInterval,
    Duration fetchTimeout,
    Duration minPollInterval,
    int fleetPollsPerSecond,
    int fanout) {
  /** The values that the proxy uses. */
  public static final ListGossipParameters STANDARD =
      new ListGossipParameters(
          Duration.ofMillis(1_000), Duration.ofMillis(500), Duration.ofMillis(2_000), 100, 4);

  /** Validates the components. */
  public ListGossipParameters {
    Checks.positive("round in milliseconds", roundInterval.toMillis());
    Checks.positive("polls per second", fleetPollsPerSecond);
    Checks.positive("fanout", fanout);
  }

  /** Returns the mean time between two polls of one VM in a fleet of {@code vms} VMs. */
  public Duration pollInterval(int vms) {
    Duration fairInterval = Duration.ofMillis(1_000L * vms / fleetPollsPerSecond);
    return fairInterval.compareTo(minPollInterval) > 0 ? fairInterval : minPollInterval;
  }
}

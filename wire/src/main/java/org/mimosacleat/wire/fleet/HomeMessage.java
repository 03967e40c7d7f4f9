package org.mimosacleat.wire.fleet;

import java.time.Duration;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.lease.FencingToken;
import org.mimosacleat.core.lease.LeaseRow;

/** One message about the home of a group. */
public sealed interface HomeMessage {
  /** Returns the group that it is about. */
  GroupId group();

  /**
   * The home is alive; sent to its watchers at an interval.
   *
   * @param token the token that it acts under
   */
  record Heartbeat(GroupId group, FencingToken token) implements HomeMessage {}

  /** Asks another watcher how long it has not heard the home. */
  record SilenceQuestion(GroupId group, VmId home) implements HomeMessage {}

  /** Answers {@link SilenceQuestion}. */
  record SilenceAnswer(GroupId group, VmId home, AvailabilityZone zone, Duration silence)
      implements HomeMessage {}

  /** Asks a peer to try to reach an endpoint. */
  record EvidenceQuestion(GroupId group, EndpointId endpoint, long round) implements HomeMessage {}

  /** Answers {@link EvidenceQuestion}. */
  record EvidenceAnswer(GroupId group, AvailabilityZone zone, long round, boolean reachable)
      implements HomeMessage {}

  /** Tells the next home that it was handed the lease. */
  record HandedOver(LeaseRow row, FencingToken ceased) implements HomeMessage {
    @Override
    public GroupId group() {
      return row.group();
    }
  }
}

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
  /** Returns the group that the message concerns. */
  GroupId group();

  /**
   * Reports that the home is alive; sent periodically to the proxies that monitor it.
   *
   * @param token the fencing token of the home's lease
   */
  record Heartbeat(GroupId group, FencingToken token) implements HomeMessage {}

  /** Asks another monitoring proxy how long ago it last received a heartbeat of the home. */
  record SilenceRequest(GroupId group, VmId home) implements HomeMessage {}

  /** Answers a {@link SilenceRequest}. */
  record SilenceResponse(GroupId group, VmId home, AvailabilityZone zone, Duration silence)
      implements HomeMessage {}

  /** Asks a peer whether it can reach an endpoint. */
  record ReachabilityRequest(GroupId group, EndpointId endpoint, long round)
      implements HomeMessage {}

  /** Answers an {@link ReachabilityRequest}. */
  record ReachabilityResponse(GroupId group, AvailabilityZone zone, long round, boolean reachable)
      implements HomeMessage {}

  /**
   * Notifies the next home that the lease was handed over to it.
   *
   * @param row the lease row that names the next home
   * @param expiredThrough the token of the last holder that is known to have ceased
   */
  record LeaseHandover(LeaseRow row, FencingToken expiredThrough) implements HomeMessage {
    @Override
    public GroupId group() {
      return row.group();
    }
  }
}

package org.mimosacleat.core.group;

import java.time.Instant;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.position.Position;

/**
 * The state of one endpoint according to its own last poll answer.
 *
 * @param id the endpoint
 * @param zone the availability zone it runs in
 * @param state whether it receives new work
 * @param received the position up to which it has received the log; on a primary, the position up
 *     to which it has written
 * @param replayed the position up to which reads on the endpoint see the log
 * @param askedAt when the poll was sent, by the clock of the proxy that sent it; the answer shows
 *     the state at a later moment
 */
public record EndpointSnapshot(
    EndpointId id,
    AvailabilityZone zone,
    EndpointState state,
    Position received,
    Position replayed,
    Instant askedAt) {
  /** Checks the components. */
  public EndpointSnapshot {
    Checks.notNull("endpoint id", id);
    Checks.notNull("availability zone", zone);
    Checks.notNull("endpoint state", state);
    Checks.notNull("received position", received);
    Checks.notNull("replayed position", replayed);
    Checks.notNull("poll time", askedAt);
  }

  /** Returns whether the endpoint receives new work. */
  public boolean isLive() {
    return state == EndpointState.LIVE;
  }
}

package org.mimosacleat.core.group;

import java.time.Instant;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.position.Position;

/**
 * What is known of one endpoint, from its own last answer.
 *
 * @param id the endpoint
 * @param zone where it runs
 * @param state whether it may be given work
 * @param received the position up to which it has received the log; for a primary what it has
 *     written
 * @param replayed the position up to which reads on it see the log
 * @param askedAt when the question behind this answer was sent, by the clock of the proxy that
 *     asked; the answer proves the state of a later moment
 */
public record EndpointView(
    EndpointId id,
    AvailabilityZone zone,
    EndpointState state,
    Position received,
    Position replayed,
    Instant askedAt) {
  /** Checks the parts. */
  public EndpointView {
    Checks.notNull("endpoint id", id);
    Checks.notNull("availability zone", zone);
    Checks.notNull("endpoint state", state);
    Checks.notNull("received position", received);
    Checks.notNull("replayed position", replayed);
    Checks.notNull("time of the question", askedAt);
  }

  /** Tells whether the endpoint may be given work. */
  public boolean isLive() {
    return state == EndpointState.LIVE;
  }
}

package org.mimosacleat.core.routing;

import java.util.Optional;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.group.GroupSnapshot;
import org.mimosacleat.core.position.Position;

/**
 * The state of a group, as known to its home, from which a request is routed.
 *
 * @param snapshot the endpoints, including which one is the primary
 * @param history the sampled positions of the primary in the term of the snapshot
 * @param acknowledged a position that includes every acknowledged write, or empty if none is known
 * @param leaseHeld whether the home holds the lease of the group, according to its own clock
 */
public record GroupRoutingState(
    GroupSnapshot snapshot,
    PrimaryPositionHistory history,
    Optional<Position> acknowledged,
    boolean leaseHeld) {
  /** Validates the components. */
  public GroupRoutingState {
    Checks.notNull("snapshot", snapshot);
    Checks.notNull("history", history);
    Checks.notNull("acknowledged position", acknowledged);
  }
}

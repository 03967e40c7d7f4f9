package org.mimosacleat.core.routing;

import java.util.Optional;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.group.GroupSnapshot;
import org.mimosacleat.core.position.Position;

/**
 * What the home knows of its group when it routes a request.
 *
 * @param snapshot the endpoints, and which of them is the primary
 * @param history the proven positions of the primary of the snapshot's term
 * @param acknowledged a position that includes every acknowledged write, or empty if none is known
 * @param leaseHeld whether the home holds the lease of the group by its own clock
 */
public record GroupKnowledge(
    GroupSnapshot snapshot,
    PrimaryHistory history,
    Optional<Position> acknowledged,
    boolean leaseHeld) {
  /** Validates the components. */
  public GroupKnowledge {
    Checks.notNull("snapshot", snapshot);
    Checks.notNull("history", history);
    Checks.notNull("acknowledged position", acknowledged);
  }
}

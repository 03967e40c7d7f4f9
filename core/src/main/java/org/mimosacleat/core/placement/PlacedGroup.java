package org.mimosacleat.core.placement;

import java.util.Set;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.GroupId;

/**
 * A group that needs a home.
 *
 * @param group the group
 * @param zones the zones in which its home may run, normally those of its endpoints; if empty, any
 *     zone is allowed
 */
public record PlacedGroup(GroupId group, Set<AvailabilityZone> zones) {
  /** Validates the components. */
  public PlacedGroup {
    Checks.notNull("group id", group);
    zones = Set.copyOf(zones);
  }

  /** Creates a group whose home may run in any zone. */
  public PlacedGroup(GroupId group) {
    this(group, Set.of());
  }

  /** Returns whether the home of this group may run in {@code zone}. */
  public boolean allows(AvailabilityZone zone) {
    return zones.isEmpty() || zones.contains(zone);
  }
}

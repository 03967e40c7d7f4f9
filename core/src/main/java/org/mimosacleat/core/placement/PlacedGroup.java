package org.mimosacleat.core.placement;

import java.util.Set;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.GroupId;

/**
 * A group that needs a home.
 *
 * @param group the group
 * @param zones where its home may run, normally the zones of its endpoints; empty allows every zone
 */
public record PlacedGroup(GroupId group, Set<AvailabilityZone> zones) {
  /** Checks the parts. */
  public PlacedGroup {
    Checks.notNull("group id", group);
    zones = Set.copyOf(zones);
  }

  /** Makes a group whose home may run in every zone. */
  public PlacedGroup(GroupId group) {
    this(group, Set.of());
  }

  /** Tells whether the home of this group may run in {@code zone}. */
  public boolean allows(AvailabilityZone zone) {
    return zones.isEmpty() || zones.contains(zone);
  }
}

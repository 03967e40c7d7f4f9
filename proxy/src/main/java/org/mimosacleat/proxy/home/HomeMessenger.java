package org.mimosacleat.proxy.home;

import java.time.Duration;
import java.util.List;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.placement.PlacementTable;
import org.mimosacleat.wire.fleet.HomeMessage;

/** Gives the homes of this proxy access to the messages, placement and membership of the fleet. */
public interface HomeMessenger {
  /** Sends a message without blocking; delivery is not guaranteed. */
  void send(VmId to, HomeMessage message);

  /** Returns which VMs should be the home of each group. */
  PlacementTable placement();

  /** Returns the placement as if a VM were not a member. */
  PlacementTable placementWithout(VmId vm);

  /** Returns how long the membership of the fleet has not changed. */
  Duration membershipStableFor();

  /** Returns whether a VM may be the home of a group: it is neither dead nor leaving. */
  boolean canBeHome(VmId vm);

  /** Returns one live VM of each availability zone other than {@code own}. */
  List<VmId> oneVmPerOtherZone(AvailabilityZone own);

  /** Returns the live VMs of an availability zone. */
  List<VmId> liveVmsInZone(AvailabilityZone zone);

  /** Returns the candidates for the home of a group, best first, each in a different zone. */
  default List<VmId> candidates(GroupId group) {
    return placement().candidates(group);
  }
}

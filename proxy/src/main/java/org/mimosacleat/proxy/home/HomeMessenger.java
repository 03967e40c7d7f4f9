package org.mimosacleat.proxy.home;

import java.util.List;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.wire.fleet.HomeMessage;

/** Connects the homes of this proxy with the rest of the fleet. */
public interface HomeMessenger {
  /** Sends a message; it may be lost, and the call does not wait for the other proxy. */
  void tell(VmId to, HomeMessage message);

  /** Returns the VMs that should be home of a group, best first, each in another zone. */
  List<VmId> candidates(GroupId group);

  /** Returns one live VM of each availability zone other than {@code own}. */
  List<VmId> witnesses(AvailabilityZone own);

  /** Returns a live VM of an availability zone, or none. */
  List<VmId> inZone(AvailabilityZone zone);
}

package org.mimosacleat.proxy.fleet;

import java.time.Duration;
import java.util.List;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.placement.PlacementTable;
import org.mimosacleat.proxy.home.HomeMessenger;
import org.mimosacleat.wire.fleet.HomeMessage;
import org.mimosacleat.wire.fleet.HomeMessageCodec;

/** Tells homes of the fleet, and sends their messages. */
public final class FleetMessenger implements HomeMessenger {
  private final LiveFleet fleet;
  private final FleetSender sender;

  /** Takes the fleet and the way to its members. */
  public FleetMessenger(LiveFleet fleet, FleetSender sender) {
    this.fleet = fleet;
    this.sender = sender;
  }

  @Override
  public void tell(VmId to, HomeMessage message) {
    sender.send(to, FleetChannel.HOMES, () -> HomeMessageCodec.encode(message));
  }

  @Override
  public PlacementTable placement() {
    return fleet.placement();
  }

  @Override
  public PlacementTable placementWithout(VmId vm) {
    return fleet.placementWithout(vm);
  }

  @Override
  public Duration unchangedFor() {
    return fleet.unchangedFor();
  }

  @Override
  public boolean mayBeHome(VmId vm) {
    return fleet.mayBeHome(vm);
  }

  @Override
  public List<VmId> witnesses(AvailabilityZone own) {
    return fleet.onePerOtherZone(own);
  }

  @Override
  public List<VmId> inZone(AvailabilityZone zone) {
    return fleet.inZone(zone);
  }
}

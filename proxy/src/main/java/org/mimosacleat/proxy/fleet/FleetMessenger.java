package org.mimosacleat.proxy.fleet;

import java.time.Duration;
import java.util.List;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.placement.PlacementTable;
import org.mimosacleat.proxy.home.HomeMessenger;
import org.mimosacleat.wire.fleet.HomeMessage;
import org.mimosacleat.wire.fleet.HomeMessageCodec;

/** Gives homes the state of the fleet and sends their messages to other proxies. */
public final class FleetMessenger implements HomeMessenger {
  private final FleetState fleet;
  private final FleetSender sender;

  /** Creates a messenger that reads {@code fleet} and sends over {@code sender}. */
  public FleetMessenger(FleetState fleet, FleetSender sender) {
    this.fleet = fleet;
    this.sender = sender;
  }

  @Override
  public void send(VmId to, HomeMessage message) {
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
  public Duration membershipStableFor() {
    return fleet.membershipStableFor();
  }

  @Override
  public boolean canBeHome(VmId vm) {
    return fleet.canBeHome(vm);
  }

  @Override
  public List<VmId> oneVmPerOtherZone(AvailabilityZone own) {
    return fleet.oneVmPerOtherZone(own);
  }

  @Override
  public List<VmId> liveVmsInZone(AvailabilityZone zone) {
    return fleet.liveVmsInZone(zone);
  }
}

package org.mimosacleat.proxy.node;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.ExecutorService;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.proxy.home.HomeMessenger;
import org.mimosacleat.proxy.peer.PeerLinks;
import org.mimosacleat.wire.fleet.HomeMessage;
import org.mimosacleat.wire.fleet.HomeMessageCodec;
import org.mimosacleat.wire.peer.PeerMessage;
import org.tinylog.Logger;

/** Sends messages about homes over the links between proxies. */
final class LinkMessenger implements HomeMessenger {
  private final StaticFleet fleet;
  private final PeerLinks links;
  private final ExecutorService executor;

  LinkMessenger(StaticFleet fleet, PeerLinks links, ExecutorService executor) {
    this.fleet = fleet;
    this.links = links;
    this.executor = executor;
  }

  @Override
  public void tell(VmId to, HomeMessage message) {
    executor.submit(() -> send(to, message));
  }

  @Override
  public List<VmId> candidates(GroupId group) {
    return fleet.likelyHomes(group);
  }

  @Override
  public List<VmId> witnesses(AvailabilityZone own) {
    return fleet.onePerOtherZone(own);
  }

  @Override
  public List<VmId> inZone(AvailabilityZone zone) {
    return fleet.inZone(zone);
  }

  private void send(VmId to, HomeMessage message) {
    try {
      links
          .to(to)
          .tell(new PeerMessage.Fleet(FleetChannel.HOMES, HomeMessageCodec.encode(message)));
    } catch (IOException unreachable) {
      Logger.debug("message to {} was lost: {}", to, unreachable.getMessage());
    }
  }
}

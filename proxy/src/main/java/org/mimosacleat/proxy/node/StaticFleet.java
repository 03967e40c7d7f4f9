package org.mimosacleat.proxy.node;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.placement.Member;
import org.mimosacleat.core.placement.PlacedGroup;
import org.mimosacleat.core.placement.PlacementTable;
import org.mimosacleat.proxy.dispatch.HomeLocator;
import org.mimosacleat.proxy.peer.PeerDirectory;
import org.mimosacleat.proxy.settings.PeerSettings;

/** The fleet as the settings name it. */
final class StaticFleet implements HomeLocator, PeerDirectory {
  private final List<PeerSettings> vms;
  private final PlacementTable placement;

  StaticFleet(PeerSettings self, List<PeerSettings> peers, List<GroupId> groups) {
    List<PeerSettings> all = new ArrayList<>(peers);
    all.add(self);
    this.vms = List.copyOf(all);
    this.placement =
        PlacementTable.of(groups.stream().map(PlacedGroup::new).toList())
            .withMembers(vms.stream().map(vm -> new Member(vm.id(), vm.zone())).toList());
  }

  @Override
  public List<VmId> likelyHomes(GroupId group) {
    return placement.groups().contains(group) ? placement.candidates(group) : List.of();
  }

  @Override
  public Optional<InetSocketAddress> addressOf(VmId peer) {
    return vms.stream().filter(vm -> vm.id().equals(peer)).map(PeerSettings::address).findFirst();
  }

  /** Returns one VM of each availability zone other than {@code own}. */
  List<VmId> onePerOtherZone(AvailabilityZone own) {
    Map<AvailabilityZone, VmId> byZone = new LinkedHashMap<>();
    vms.stream()
        .filter(vm -> !vm.zone().equals(own))
        .forEach(vm -> byZone.putIfAbsent(vm.zone(), vm.id()));
    return List.copyOf(byZone.values());
  }

  /** Returns the VMs of an availability zone. */
  List<VmId> inZone(AvailabilityZone zone) {
    return vms.stream().filter(vm -> vm.zone().equals(zone)).map(PeerSettings::id).toList();
  }
}

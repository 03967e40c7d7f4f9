package org.mimosacleat.proxy.node;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.proxy.dispatch.HomeLocator;
import org.mimosacleat.proxy.peer.PeerDirectory;
import org.mimosacleat.proxy.settings.PeerSettings;

/** The fleet as the settings name it: the home of a group is the VM with the highest hash. */
final class StaticFleet implements HomeLocator, PeerDirectory {
  private final List<PeerSettings> vms;

  StaticFleet(PeerSettings self, List<PeerSettings> peers) {
    List<PeerSettings> all = new ArrayList<>(peers);
    all.add(self);
    this.vms = List.copyOf(all);
  }

  @Override
  public Optional<VmId> homeOf(GroupId group) {
    return vms.stream()
        .map(PeerSettings::id)
        .max(Comparator.comparingInt((VmId vm) -> weight(vm, group)).thenComparing(vm -> vm));
  }

  @Override
  public Optional<InetSocketAddress> addressOf(VmId peer) {
    return vms.stream().filter(vm -> vm.id().equals(peer)).map(PeerSettings::address).findFirst();
  }

  private static int weight(VmId vm, GroupId group) {
    return (vm.value() + '/' + group.value()).hashCode() * 0x9E37_79B9;
  }
}

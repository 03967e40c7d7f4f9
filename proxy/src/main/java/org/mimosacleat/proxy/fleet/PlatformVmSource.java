package org.mimosacleat.proxy.fleet;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.membership.ListedVm;
import org.mimosacleat.core.settings.AddressType;
import org.mimosacleat.core.vmlist.ListedState;
import org.mimosacleat.core.vmlist.VmListing;
import org.mimosacleat.core.vmlist.VmRecord;
import org.mimosacleat.platform.vmlist.VmList;
import org.mimosacleat.proxy.settings.PeerSettings;

/** Joins the VMs of the settings with those of the platform's list; the list goes first. */
public final class PlatformVmSource implements VmSource {
  private static final Duration TIMEOUT = Duration.ofSeconds(2);

  private final List<PeerSettings> seeds;
  private final VmList vmList;

  /** Takes the VMs of the settings and the platform's list. */
  public PlatformVmSource(List<PeerSettings> seeds, VmList vmList) {
    this.seeds = List.copyOf(seeds);
    this.vmList = vmList;
  }

  @Override
  public List<ListedVm> seeds() {
    return seeds.stream()
        .map(
            seed -> new ListedVm(seed.id(), seed.zone(), AddressType.format(seed.address()), false))
        .toList();
  }

  @Override
  public List<ListedVm> list() {
    Map<VmId, ListedVm> listed = new LinkedHashMap<>();
    seeds().forEach(seed -> listed.put(seed.vm(), seed));
    vmList.read(TIMEOUT).forEach(listing -> add(listed, listing));
    return List.copyOf(listed.values());
  }

  private static void add(Map<VmId, ListedVm> listed, VmListing listing) {
    for (VmRecord vm : listing.vms()) {
      listed.put(
          vm.id(),
          new ListedVm(
              vm.id(),
              vm.zone(),
              AddressType.format(vm.address()),
              vm.state() == ListedState.LEAVING));
    }
  }
}

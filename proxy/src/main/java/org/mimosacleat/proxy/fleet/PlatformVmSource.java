package org.mimosacleat.proxy.fleet;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.membership.ListedVm;
import org.mimosacleat.core.settings.AddressType;
import org.mimosacleat.core.vmlist.EndpointRecord;
import org.mimosacleat.core.vmlist.ListedState;
import org.mimosacleat.core.vmlist.VmListing;
import org.mimosacleat.core.vmlist.VmRecord;
import org.mimosacleat.proxy.settings.PeerSettings;
import org.mimosacleat.store.vmlist.VmList;

/** Joins the VMs of the settings with those of the platform's list; the list goes first. */
public final class PlatformVmSource implements VmSource {
  private static final Duration TIMEOUT = Duration.ofSeconds(2);

  private final List<PeerSettings> seeds;
  private final VmList vmList;
  private final InstantSource clock;
  private final LeavingListener listener;

  /** Takes the VMs of the settings, the platform's list, and who is told of its endpoints. */
  public PlatformVmSource(
      List<PeerSettings> seeds, VmList vmList, InstantSource clock, LeavingListener listener) {
    this.seeds = List.copyOf(seeds);
    this.vmList = vmList;
    this.clock = clock;
    this.listener = listener;
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
    Instant askedAt = clock.instant();
    vmList
        .read(TIMEOUT)
        .forEach(
            listing -> {
              add(listed, listing);
              listener.listed(askedAt, leavingEndpoints(listing));
            });
    return List.copyOf(listed.values());
  }

  private static Set<EndpointId> leavingEndpoints(VmListing listing) {
    return listing.endpoints().stream()
        .filter(endpoint -> endpoint.state() == ListedState.LEAVING)
        .map(EndpointRecord::id)
        .collect(Collectors.toSet());
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

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

/**
 * Merges the VMs of the settings with those of the platform's list. For a VM that is in both, the
 * entry of the platform's list is used.
 */
public final class PlatformVmSource implements VmSource {
  private static final Duration READ_TIMEOUT = Duration.ofSeconds(2);

  private final List<PeerSettings> seeds;
  private final VmList vmList;
  private final InstantSource clock;
  private final LeavingEndpointsListener listener;

  /**
   * Creates a source.
   *
   * @param seeds the VMs of the settings
   * @param vmList the platform's list
   * @param listener receives the leaving endpoints after each read of the list
   */
  public PlatformVmSource(
      List<PeerSettings> seeds,
      VmList vmList,
      InstantSource clock,
      LeavingEndpointsListener listener) {
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
    Instant requestedAt = clock.instant();
    vmList
        .read(READ_TIMEOUT)
        .forEach(
            listing -> {
              add(listed, listing);
              listener.onLeavingEndpoints(requestedAt, leavingEndpoints(listing));
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

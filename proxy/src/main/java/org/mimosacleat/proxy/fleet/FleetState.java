package org.mimosacleat.proxy.fleet;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Collectors;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.membership.MemberRecord;
import org.mimosacleat.core.membership.MembershipView;
import org.mimosacleat.core.placement.Member;
import org.mimosacleat.core.placement.PlacedGroup;
import org.mimosacleat.core.placement.PlacementTable;
import org.mimosacleat.core.settings.AddressType;
import org.mimosacleat.proxy.dispatch.HomeLocator;
import org.mimosacleat.proxy.peer.PeerDirectory;
import org.mimosacleat.proxy.settings.PeerSettings;

/**
 * The members and the placement as this proxy knows them. Reads use an immutable snapshot; each
 * membership update replaces it atomically.
 */
public final class FleetState implements HomeLocator, PeerDirectory {
  /** 2^32 divided by the golden ratio, as in Fibonacci hashing. */
  private static final int HASH_MULTIPLIER = 0x9E37_79B9;

  private final InstantSource clock;
  private final AtomicReference<Snapshot> snapshot;

  /**
   * Creates a state whose members are the VMs of the settings.
   *
   * @param vms this VM and the peers in the settings
   */
  public FleetState(InstantSource clock, List<PeerSettings> vms, List<GroupId> groups) {
    this.clock = clock;
    Map<VmId, PeerSettings> known =
        vms.stream().collect(Collectors.toMap(PeerSettings::id, vm -> vm));
    List<Member> homeCandidates =
        vms.stream()
            .map(vm -> new Member(vm.id(), vm.zone()))
            .sorted(Comparator.comparing(Member::vm))
            .toList();
    PlacementTable placement =
        PlacementTable.of(groups.stream().map(PlacedGroup::new).toList())
            .withMembers(homeCandidates);
    this.snapshot =
        new AtomicReference<>(new Snapshot(known, placement, homeCandidates, clock.instant()));
  }

  /** Applies a new membership view. */
  public void update(MembershipView view) {
    List<Member> homeCandidates =
        view.homeCandidates().stream().sorted(Comparator.comparing(Member::vm)).toList();
    snapshot.updateAndGet(previous -> nextSnapshot(previous, view, homeCandidates));
  }

  /** Returns the VMs that should be the home of each group. */
  public PlacementTable placement() {
    return snapshot.get().placement();
  }

  /** Returns the placement as if a VM were not a member. */
  public PlacementTable placementWithout(VmId vm) {
    Snapshot current = snapshot.get();
    return current
        .placement()
        .withMembers(
            current.homeCandidates().stream().filter(member -> !member.vm().equals(vm)).toList());
  }

  /** Returns how long the set of VMs that can be homes has not changed. */
  public Duration membershipStableFor() {
    return Duration.between(snapshot.get().unchangedSince(), clock.instant());
  }

  @Override
  public List<VmId> likelyHomes(GroupId group) {
    PlacementTable placement = placement();
    return placement.groups().contains(group) ? placement.candidates(group) : List.of();
  }

  @Override
  public Optional<InetSocketAddress> addressOf(VmId peer) {
    return Optional.ofNullable(snapshot.get().vms().get(peer)).map(PeerSettings::address);
  }

  /** Returns one live VM of each availability zone other than {@code own}. */
  public List<VmId> oneVmPerOtherZone(AvailabilityZone own) {
    Map<AvailabilityZone, VmId> byZone = new LinkedHashMap<>();
    snapshot.get().vms().values().stream()
        .filter(vm -> !vm.zone().equals(own))
        .forEach(vm -> byZone.putIfAbsent(vm.zone(), vm.id()));
    return List.copyOf(byZone.values());
  }

  /** Returns the live VMs of an availability zone. */
  public List<VmId> liveVmsInZone(AvailabilityZone zone) {
    return snapshot.get().vms().values().stream()
        .filter(vm -> vm.zone().equals(zone))
        .map(PeerSettings::id)
        .toList();
  }

  /** Returns whether a VM can be the home of a group, which means neither dead nor leaving. */
  public boolean canBeHome(VmId vm) {
    return snapshot.get().homeCandidates().stream().anyMatch(member -> member.vm().equals(vm));
  }

  /** Returns the live VMs. */
  public List<VmId> liveVms() {
    return List.copyOf(snapshot.get().vms().keySet());
  }

  /**
   * Returns the VM that divides the allowance of a customer among the homes. It is chosen by
   * rendezvous hashing and is never a leaving VM.
   */
  public VmId coordinatorOf(TeamId customer) {
    return snapshot.get().homeCandidates().stream()
        .map(Member::vm)
        .max(
            Comparator.comparingInt((VmId vm) -> rendezvousWeight(vm, customer))
                .thenComparing(vm -> vm))
        .orElseThrow();
  }

  private Snapshot nextSnapshot(
      Snapshot previous, MembershipView view, List<Member> homeCandidates) {
    boolean same = previous.homeCandidates().equals(homeCandidates);
    return new Snapshot(
        liveVmSettings(previous.vms(), view),
        same ? previous.placement() : previous.placement().withMembers(homeCandidates),
        homeCandidates,
        same ? previous.unchangedSince() : clock.instant());
  }

  private static int rendezvousWeight(VmId vm, TeamId customer) {
    return (vm.value() + '/' + customer.value()).hashCode() * HASH_MULTIPLIER;
  }

  private static Map<VmId, PeerSettings> liveVmSettings(
      Map<VmId, PeerSettings> previous, MembershipView view) {
    List<PeerSettings> live = new ArrayList<>();
    for (MemberRecord record : view.members().values()) {
      if (view.isLive(record.vm())) {
        address(record)
            .map(address -> new PeerSettings(record.vm(), record.zone(), address))
            .or(() -> Optional.ofNullable(previous.get(record.vm())))
            .ifPresent(live::add);
      }
    }
    return live.stream().collect(Collectors.toMap(PeerSettings::id, vm -> vm));
  }

  private static Optional<InetSocketAddress> address(MemberRecord record) {
    return new AddressType().parse(record.address()).toJavaOptional();
  }

  /**
   * The state at one moment.
   *
   * @param vms the live VMs
   * @param placement the VMs that should be the home of each group
   * @param homeCandidates the VMs that can be homes
   * @param unchangedSince when {@code homeCandidates} last changed
   */
  private record Snapshot(
      Map<VmId, PeerSettings> vms,
      PlacementTable placement,
      List<Member> homeCandidates,
      Instant unchangedSince) {
    Snapshot {
      vms = Map.copyOf(vms);
      homeCandidates = List.copyOf(homeCandidates);
    }
  }
}

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
import org.mimosacleat.core.id.CustomerId;
import org.mimosacleat.core.id.GroupId;
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
 * The members and the placement as this proxy knows them. Readers take one immutable picture; each
 * new view of the members publishes the next.
 */
public final class LiveFleet implements HomeLocator, PeerDirectory {
  private static final int HASH_MULTIPLIER = 0x9E37_79B9;

  private final InstantSource clock;
  private final AtomicReference<Picture> picture;

  /**
   * Starts with the VMs that the settings name.
   *
   * @param vms this VM and the peers of the settings
   */
  public LiveFleet(InstantSource clock, List<PeerSettings> vms, List<GroupId> groups) {
    this.clock = clock;
    Map<VmId, PeerSettings> known =
        vms.stream().collect(Collectors.toMap(PeerSettings::id, vm -> vm));
    List<Member> homes =
        vms.stream()
            .map(vm -> new Member(vm.id(), vm.zone()))
            .sorted(Comparator.comparing(Member::vm))
            .toList();
    PlacementTable placement =
        PlacementTable.of(groups.stream().map(PlacedGroup::new).toList()).withMembers(homes);
    this.picture = new AtomicReference<>(new Picture(known, placement, homes, clock.instant()));
  }

  /** Takes in a new view of the members. */
  public void update(MembershipView view) {
    List<Member> homes =
        view.homeCandidates().stream().sorted(Comparator.comparing(Member::vm)).toList();
    picture.updateAndGet(before -> next(before, view, homes));
  }

  /** Returns which VMs should be the home of each group. */
  public PlacementTable placement() {
    return picture.get().placement();
  }

  /** Returns the placement as if a VM were not a member. */
  public PlacementTable placementWithout(VmId vm) {
    Picture current = picture.get();
    return current
        .placement()
        .withMembers(current.homes().stream().filter(member -> !member.vm().equals(vm)).toList());
  }

  /** Returns how long the members have been the same. */
  public Duration unchangedFor() {
    return Duration.between(picture.get().since(), clock.instant());
  }

  @Override
  public List<VmId> likelyHomes(GroupId group) {
    PlacementTable placement = placement();
    return placement.groups().contains(group) ? placement.candidates(group) : List.of();
  }

  @Override
  public Optional<InetSocketAddress> addressOf(VmId peer) {
    return Optional.ofNullable(picture.get().vms().get(peer)).map(PeerSettings::address);
  }

  /** Returns one live VM of each availability zone other than {@code own}. */
  public List<VmId> onePerOtherZone(AvailabilityZone own) {
    Map<AvailabilityZone, VmId> byZone = new LinkedHashMap<>();
    picture.get().vms().values().stream()
        .filter(vm -> !vm.zone().equals(own))
        .forEach(vm -> byZone.putIfAbsent(vm.zone(), vm.id()));
    return List.copyOf(byZone.values());
  }

  /** Returns the live VMs of an availability zone. */
  public List<VmId> inZone(AvailabilityZone zone) {
    return picture.get().vms().values().stream()
        .filter(vm -> vm.zone().equals(zone))
        .map(PeerSettings::id)
        .toList();
  }

  /** Tells whether a VM may be the home of a group: it is neither dead nor leaving. */
  public boolean mayBeHome(VmId vm) {
    return picture.get().homes().stream().anyMatch(member -> member.vm().equals(vm));
  }

  /** Returns the live VMs. */
  public List<VmId> all() {
    return List.copyOf(picture.get().vms().keySet());
  }

  /**
   * Returns the VM that divides the allowance of a customer over the homes; never a leaving one.
   */
  public VmId coordinatorOf(CustomerId customer) {
    return picture.get().homes().stream()
        .map(Member::vm)
        .max(Comparator.comparingInt((VmId vm) -> weight(vm, customer)).thenComparing(vm -> vm))
        .orElseThrow();
  }

  private Picture next(Picture before, MembershipView view, List<Member> homes) {
    boolean same = before.homes().equals(homes);
    return new Picture(
        addresses(before.vms(), view),
        same ? before.placement() : before.placement().withMembers(homes),
        homes,
        same ? before.since() : clock.instant());
  }

  private static int weight(VmId vm, CustomerId customer) {
    return (vm.value() + '/' + customer.value()).hashCode() * HASH_MULTIPLIER;
  }

  private static Map<VmId, PeerSettings> addresses(
      Map<VmId, PeerSettings> before, MembershipView view) {
    List<PeerSettings> live = new ArrayList<>();
    for (MemberRecord record : view.members().values()) {
      if (view.isLive(record.vm())) {
        address(record)
            .map(address -> new PeerSettings(record.vm(), record.zone(), address))
            .or(() -> Optional.ofNullable(before.get(record.vm())))
            .ifPresent(live::add);
      }
    }
    return live.stream().collect(Collectors.toMap(PeerSettings::id, vm -> vm));
  }

  private static Optional<InetSocketAddress> address(MemberRecord record) {
    return new AddressType().parse(record.address()).toJavaOptional();
  }

  /**
   * One immutable picture.
   *
   * @param vms the live VMs
   * @param placement which of them should be home of what
   * @param homes the VMs that may be homes
   * @param since when these last changed
   */
  private record Picture(
      Map<VmId, PeerSettings> vms, PlacementTable placement, List<Member> homes, Instant since) {
    Picture {
      vms = Map.copyOf(vms);
      homes = List.copyOf(homes);
    }
  }
}

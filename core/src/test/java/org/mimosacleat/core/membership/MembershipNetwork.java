package org.mimosacleat.core.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.time.PausedClock;

/** Membership machines joined by a network that loses messages as told; all by one seed. */
final class MembershipNetwork {
  private static final Duration TICK = Duration.ofMillis(100);
  private static final int ZONES = 3;

  final PausedClock clock = new PausedClock();
  final Map<VmId, MembershipMachine> machines = new TreeMap<>();
  final Set<VmId> paused = new HashSet<>();
  final List<String> explanations = new ArrayList<>();
  BiPredicate<VmId, VmId> isCut = (from, to) -> false;
  private final MembershipTimes times;
  private final Random random;

  MembershipNetwork(long seed, MembershipTimes times) {
    this.random = new Random(seed);
    this.times = times;
  }

  static List<VmId> names(String prefix, int count) {
    List<VmId> names = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      names.add(new VmId(prefix + index));
    }
    return names;
  }

  void start(List<VmId> vms, List<VmId> listed) {
    for (VmId vm : vms) {
      MemberRecord self =
          new MemberRecord(vm, zone(vm), vm.value(), clock.millis(), MemberStatus.ALIVE, vm);
      machines.put(vm, new MembershipMachine(self, clock, new Random(random.nextLong()), times));
    }
    list(listed);
  }

  void list(List<VmId> listed) {
    List<ListedVm> list =
        listed.stream().map(vm -> new ListedVm(vm, zone(vm), vm.value(), false)).toList();
    machines.values().forEach(machine -> machine.step(new MembershipInput.Listed(list)));
  }

  void run(Duration duration) {
    for (long tick = 0; tick < duration.dividedBy(TICK); tick++) {
      clock.advance(TICK);
      for (VmId vm : List.copyOf(machines.keySet())) {
        give(vm, new MembershipInput.Tick());
      }
    }
  }

  /** Returns the VMs that every running VM believes to be in {@code status}. */
  Set<VmId> agreed(MemberStatus status) {
    Set<VmId> agreed = null;
    for (MembershipMachine machine : machines.values()) {
      Set<VmId> here = new HashSet<>();
      machine.view().members().values().stream()
          .filter(record -> record.status() == status)
          .forEach(record -> here.add(record.vm()));
      agreed = agreed == null ? here : intersection(agreed, here);
    }
    return agreed;
  }

  static AvailabilityZone zone(VmId vm) {
    return new AvailabilityZone("zone-" + index(vm) % ZONES);
  }

  static int index(VmId vm) {
    return Integer.parseInt(vm.value().replaceAll("\\D", ""));
  }

  private void give(VmId vm, MembershipInput input) {
    MembershipMachine machine = machines.get(vm);
    if (machine == null || paused.contains(vm)) {
      return;
    }
    for (MembershipAction action : machine.step(input)) {
      switch (action) {
        case MembershipAction.Send send when !isCut.test(vm, send.to()) ->
            give(send.to(), new MembershipInput.Received(send.message()));
        case MembershipAction.Send lost -> {}
        case MembershipAction.ViewChanged change -> explanations.addAll(change.explanations());
      }
    }
  }

  private static Set<VmId> intersection(Set<VmId> first, Set<VmId> second) {
    first.retainAll(second);
    return first;
  }
}

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

/**
 * A simulated network of membership state machines, deterministic for a seed. Tests choose the
 * messages that it drops.
 */
final class MembershipNetwork {
  private static final Duration TICK = Duration.ofMillis(100);
  private static final int ZONES = 3;

  final PausedClock clock = new PausedClock();
  final Map<VmId, MembershipStateMachine> machines = new TreeMap<>();
  final Set<VmId> paused = new HashSet<>();
  final List<String> explanations = new ArrayList<>();
  BiPredicate<VmId, VmId> isDropped = (from, to) -> false;
  private final MembershipTimes times;
  private final Random random;

  MembershipNetwork(long seed, MembershipTimes times) {
    this.random = new Random(seed);
    this.times = times;
  }

  static List<VmId> vmIds(String prefix, int count) {
    List<VmId> ids = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      ids.add(new VmId(prefix + index));
    }
    return ids;
  }

  void start(List<VmId> vms, List<VmId> listed) {
    for (VmId vm : vms) {
      MemberRecord self =
          new MemberRecord(vm, zone(vm), vm.value(), clock.millis(), MemberStatus.ALIVE, vm);
      machines.put(
          vm, new MembershipStateMachine(self, clock, new Random(random.nextLong()), times));
    }
    updateVmList(listed);
  }

  void updateVmList(List<VmId> listed) {
    List<ListedVm> list =
        listed.stream().map(vm -> new ListedVm(vm, zone(vm), vm.value(), false)).toList();
    machines.values().forEach(machine -> machine.step(new MembershipInput.VmListRead(list)));
  }

  void run(Duration duration) {
    for (long tick = 0; tick < duration.dividedBy(TICK); tick++) {
      clock.advance(TICK);
      for (VmId vm : List.copyOf(machines.keySet())) {
        deliver(vm, new MembershipInput.Tick());
      }
    }
  }

  /** Returns the VMs that have {@code status} in the views of all running VMs. */
  Set<VmId> agreedVms(MemberStatus status) {
    Set<VmId> agreed = null;
    for (MembershipStateMachine machine : machines.values()) {
      Set<VmId> inView = new HashSet<>();
      machine.view().members().values().stream()
          .filter(record -> record.status() == status)
          .forEach(record -> inView.add(record.vm()));
      agreed = agreed == null ? inView : intersection(agreed, inView);
    }
    return agreed;
  }

  static AvailabilityZone zone(VmId vm) {
    return new AvailabilityZone("zone-" + index(vm) % ZONES);
  }

  static int index(VmId vm) {
    return Integer.parseInt(vm.value().replaceAll("\\D", ""));
  }

  private void deliver(VmId vm, MembershipInput input) {
    MembershipStateMachine machine = machines.get(vm);
    if (machine == null || paused.contains(vm)) {
      return;
    }
    for (MembershipAction action : machine.step(input)) {
      switch (action) {
        case MembershipAction.Send send when !isDropped.test(vm, send.to()) ->
            deliver(send.to(), new MembershipInput.Received(send.message()));
        case MembershipAction.Send dropped -> {}
        case MembershipAction.ViewChanged change -> explanations.addAll(change.explanations());
      }
    }
  }

  private static Set<VmId> intersection(Set<VmId> first, Set<VmId> second) {
    first.retainAll(second);
    return first;
  }
}

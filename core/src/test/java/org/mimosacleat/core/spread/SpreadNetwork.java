package org.mimosacleat.core.spread;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.lists.ListKind;
import org.mimosacleat.core.lists.ListVersion;
import org.mimosacleat.core.lists.PublishedList;
import org.mimosacleat.core.time.PausedClock;

/** Spread machines, a network and a store with faults; all by one seed. */
final class SpreadNetwork {
  private static final Duration TICK = Duration.ofMillis(100);
  private static final double LOSS = 0.2;

  boolean storeDown;
  int timesDown;
  private final boolean takesWhateverIsLatest;
  private final PausedClock clock = new PausedClock();
  private final Random random;
  private final List<SpreadMachine> machines = new ArrayList<>();
  private final List<PublishedList> applied = new ArrayList<>();
  private final List<Runnable> delayed = new ArrayList<>();
  private long stored;
  private boolean isFaulty;

  SpreadNetwork(long seed, int vms, boolean takesWhateverIsLatest) {
    this.random = new Random(seed);
    this.takesWhateverIsLatest = takesWhateverIsLatest;
    for (int index = 0; index < vms; index++) {
      machines.add(null);
      applied.add(null);
      restart(index);
    }
  }

  SpreadMachine machine(int index) {
    return machines.get(index);
  }

  SpreadMachine restart(int index) {
    applied.set(index, null);
    SpreadMachine machine =
        new SpreadMachine(vm(index), clock, new Random(random.nextLong()), SpreadTimes.STANDARD);
    machines.set(index, machine);
    machines.stream().filter(Objects::nonNull).forEach(this::setPeers);
    return machine;
  }

  void acceptAt(int index) {
    stored++;
    give(index, new SpreadInput.FromStore(list(stored)));
  }

  void runWithFaults(int ticks) {
    isFaulty = true;
    for (int tick = 0; tick < ticks; tick++) {
      if (random.nextInt(10) == 0 && !storeDown) {
        acceptAt(random.nextInt(machines.size()));
      }
      storeDown = random.nextInt(40) == 0 ? !storeDown : storeDown;
      if (random.nextInt(50) == 0) {
        restart(random.nextInt(machines.size()));
      }
      run(TICK);
    }
    isFaulty = false;
  }

  void repair() {
    storeDown = false;
    delayed.forEach(Runnable::run);
    delayed.clear();
  }

  void run(Duration duration) {
    for (long tick = 0; tick < duration.dividedBy(TICK); tick++) {
      clock.advance(TICK);
      for (int index = 0; index < machines.size(); index++) {
        give(index, new SpreadInput.Tick());
      }
    }
  }

  ListVersion highest() {
    return new ListVersion(stored);
  }

  List<ListVersion> versions() {
    return machines.stream().map(machine -> machine.versions().get(ListKind.PLANS)).toList();
  }

  private void give(int index, SpreadInput input) {
    for (SpreadAction action : machines.get(index).step(input)) {
      switch (action) {
        case SpreadAction.Send send ->
            arrive(number(send.to()), new SpreadInput.Received(send.message()));
        case SpreadAction.AskStore() ->
            answer(index, new SpreadInput.StoreVersions(Map.of(ListKind.PLANS, highest())));
        case SpreadAction.FetchFromStore fetch ->
            answer(index, new SpreadInput.FromStore(list(stored)));
        case SpreadAction.Apply apply -> apply(index, apply.list());
        case SpreadAction.StoreIsBehind behind -> {}
      }
    }
    if (takesWhateverIsLatest && input instanceof SpreadInput.FromStore told) {
      apply(index, told.list());
    }
  }

  private void apply(int index, PublishedList list) {
    PublishedList before = applied.set(index, list);
    if (before != null && before.version().isAfter(list.version())) {
      timesDown++;
    }
  }

  private void answer(int index, SpreadInput input) {
    if (!storeDown) {
      arrive(index, input);
    }
  }

  private void arrive(int index, SpreadInput input) {
    if (!isFaulty) {
      give(index, input);
      return;
    }
    if (random.nextDouble() < LOSS) {
      return;
    }
    delayed.add(() -> give(index, input));
    if (random.nextInt(3) > 0) {
      delayed.remove(random.nextInt(delayed.size())).run();
    }
  }

  private void setPeers(SpreadMachine machine) {
    List<VmId> peers = new ArrayList<>();
    for (int index = 0; index < machines.size(); index++) {
      if (machines.get(index) != machine) {
        peers.add(vm(index));
      }
    }
    machine.step(new SpreadInput.Peers(peers));
  }

  static PublishedList list(long version) {
    String text = "[customers]\nkept = 1\nchanged = " + version + "\nkept = 2\n";
    return new PublishedList(
        ListKind.PLANS, new ListVersion(version), "w" + version, "me", Instant.EPOCH, "", text);
  }

  private static VmId vm(int index) {
    return new VmId("vm-" + index);
  }

  private static int number(VmId vm) {
    return Integer.parseInt(vm.value().substring("vm-".length()));
  }
}

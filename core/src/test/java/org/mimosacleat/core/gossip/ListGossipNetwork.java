package org.mimosacleat.core.gossip;

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

/**
 * A simulation of the list dissemination of several VMs, their network and the store, with faults;
 * deterministic for a seed.
 */
final class ListGossipNetwork {
  private static final Duration TICK = Duration.ofMillis(100);
  private static final double LOSS_PROBABILITY = 0.2;

  boolean storeDown;
  int decreases;
  private final boolean acceptsLowerVersions;
  private final PausedClock clock = new PausedClock();
  private final Random random;
  private final List<ListGossipStateMachine> machines = new ArrayList<>();
  private final List<PublishedList> applied = new ArrayList<>();
  private final List<Runnable> delayed = new ArrayList<>();
  private long storeVersion;
  private boolean isFaulty;

  ListGossipNetwork(long seed, int vms, boolean acceptsLowerVersions) {
    this.random = new Random(seed);
    this.acceptsLowerVersions = acceptsLowerVersions;
    for (int index = 0; index < vms; index++) {
      machines.add(null);
      applied.add(null);
      restart(index);
    }
  }

  ListGossipStateMachine machine(int index) {
    return machines.get(index);
  }

  ListGossipStateMachine restart(int index) {
    applied.set(index, null);
    ListGossipStateMachine machine =
        new ListGossipStateMachine(
            vm(index), clock, new Random(random.nextLong()), ListGossipParameters.STANDARD);
    machines.set(index, machine);
    machines.stream().filter(Objects::nonNull).forEach(this::setPeers);
    return machine;
  }

  void publishAt(int index) {
    storeVersion++;
    deliver(index, new ListGossipInput.ListReadFromStore(list(storeVersion)));
  }

  void runWithFaults(int ticks) {
    isFaulty = true;
    for (int tick = 0; tick < ticks; tick++) {
      if (random.nextInt(10) == 0 && !storeDown) {
        publishAt(random.nextInt(machines.size()));
      }
      storeDown = random.nextInt(40) == 0 ? !storeDown : storeDown;
      if (random.nextInt(50) == 0) {
        restart(random.nextInt(machines.size()));
      }
      run(TICK);
    }
    isFaulty = false;
  }

  void deliverDelayedMessages() {
    storeDown = false;
    delayed.forEach(Runnable::run);
    delayed.clear();
  }

  void run(Duration duration) {
    for (long tick = 0; tick < duration.dividedBy(TICK); tick++) {
      clock.advance(TICK);
      for (int index = 0; index < machines.size(); index++) {
        deliver(index, new ListGossipInput.Tick());
      }
    }
  }

  ListVersion highest() {
    return new ListVersion(storeVersion);
  }

  List<ListVersion> versions() {
    return machines.stream().map(machine -> machine.versions().get(ListKind.PLANS)).toList();
  }

  private void deliver(int index, ListGossipInput input) {
    for (ListGossipAction action : machines.get(index).step(input)) {
      switch (action) {
        case ListGossipAction.Send send ->
            transmit(number(send.to()), new ListGossipInput.Received(send.message()));
        case ListGossipAction.QueryStoreVersions() ->
            answerFromStore(
                index, new ListGossipInput.StoreVersionsRead(Map.of(ListKind.PLANS, highest())));
        case ListGossipAction.FetchFromStore fetch ->
            answerFromStore(index, new ListGossipInput.ListReadFromStore(list(storeVersion)));
        case ListGossipAction.Apply apply -> apply(index, apply.list());
        case ListGossipAction.StoreIsBehind behind -> {}
      }
    }
    if (acceptsLowerVersions && input instanceof ListGossipInput.ListReadFromStore received) {
      apply(index, received.list());
    }
  }

  private void apply(int index, PublishedList list) {
    PublishedList before = applied.set(index, list);
    if (before != null && before.version().isAfter(list.version())) {
      decreases++;
    }
  }

  private void answerFromStore(int index, ListGossipInput input) {
    if (!storeDown) {
      transmit(index, input);
    }
  }

  private void transmit(int index, ListGossipInput input) {
    if (!isFaulty) {
      deliver(index, input);
      return;
    }
    if (random.nextDouble() < LOSS_PROBABILITY) {
      return;
    }
    delayed.add(() -> deliver(index, input));
    if (random.nextInt(3) > 0) {
      delayed.remove(random.nextInt(delayed.size())).run();
    }
  }

  private void setPeers(ListGossipStateMachine machine) {
    List<VmId> peers = new ArrayList<>();
    for (int index = 0; index < machines.size(); index++) {
      if (machines.get(index) != machine) {
        peers.add(vm(index));
      }
    }
    machine.step(new ListGossipInput.Peers(peers));
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

package org.mimosacleat.lab.measure.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.mimosacleat.core.gossip.ListGossipAction;
import org.mimosacleat.core.gossip.ListGossipInput;
import org.mimosacleat.core.gossip.ListGossipParameters;
import org.mimosacleat.core.gossip.ListGossipStateMachine;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.lists.ListKind;
import org.mimosacleat.core.lists.ListVersion;
import org.mimosacleat.core.lists.PublishedList;

/** An in-memory fleet that disseminates list changes over a network with latency and losses. */
final class DisseminationFleet {
  private static final Duration TICK_INTERVAL = Duration.ofMillis(100);
  private static final Duration DISSEMINATION_TIMEOUT = Duration.ofSeconds(60);
  private static final String LINE_FORMAT =
      "customer-%d = plan-silver ; entered for the measurement%n";

  private final EventQueue events = new EventQueue();
  private final List<ListGossipStateMachine> machines = new ArrayList<>();
  private final Traffic traffic = new Traffic();
  private final Duration latency;
  private final double lossProbability;
  private final Random random;
  private final String text;
  private long version = 1;

  DisseminationFleet(
      int members, int entries, Duration latency, double lossProbability, long seed) {
    this.latency = latency;
    this.lossProbability = lossProbability;
    this.random = new Random(seed);
    this.text = lines(entries);
    for (int index = 0; index < members; index++) {
      VmId self = FleetNames.vm(index);
      ListGossipStateMachine machine =
          new ListGossipStateMachine(
              self, events.clock(), new Random(random.nextLong()), ListGossipParameters.STANDARD);
      List<VmId> peers = new ArrayList<>(FleetNames.vms(members));
      peers.remove(index);
      machine.step(new ListGossipInput.Peers(peers));
      machine.step(new ListGossipInput.ListReadFromStore(list()));
      machine.step(new ListGossipInput.StoreVersionsRead(Map.of(ListKind.PLANS, list().version())));
      machines.add(machine);
      events.scheduleAfter(Duration.ofMillis(random.nextInt(100)), () -> tick(self, machine));
    }
    run(Duration.ofSeconds(5));
  }

  Traffic traffic() {
    return traffic;
  }

  int listLength() {
    return text.length();
  }

  void run(Duration duration) {
    events.runUntil(events.clock().instant().plus(duration));
  }

  /** Accepts a change in the store and returns the time until every member has applied it. */
  Duration acceptChange() {
    run(Duration.ofMillis(1_000 + random.nextInt(1_000)));
    version++;
    Instant accepted = events.clock().instant();
    Duration elapsed = Duration.ZERO;
    while (!isAppliedEverywhere() && elapsed.compareTo(DISSEMINATION_TIMEOUT) < 0) {
      run(Duration.ofMillis(10));
      elapsed = elapsed.plusMillis(10);
    }
    return Duration.between(accepted, accepted.plus(elapsed));
  }

  private boolean isAppliedEverywhere() {
    ListVersion newest = new ListVersion(version);
    return machines.stream()
        .allMatch(machine -> newest.equals(machine.versions().get(ListKind.PLANS)));
  }

  private void tick(VmId self, ListGossipStateMachine machine) {
    step(machine, new ListGossipInput.Tick());
    events.scheduleAfter(TICK_INTERVAL, () -> tick(self, machine));
  }

  private void step(ListGossipStateMachine machine, ListGossipInput input) {
    long start = ProcessorTime.now();
    List<ListGossipAction> actions = machine.step(input);
    traffic.addNanoseconds(ProcessorTime.now() - start);
    actions.forEach(action -> perform(machine, action));
  }

  private void perform(ListGossipStateMachine machine, ListGossipAction action) {
    switch (action) {
      case ListGossipAction.Send send -> {
        traffic.add(MessageSize.of(send.message()));
        int to = Integer.parseInt(send.to().value().substring("entry-".length()));
        if (random.nextDouble() >= lossProbability) {
          ListGossipInput received = new ListGossipInput.Received(send.message());
          events.scheduleAfter(latency, () -> step(machines.get(to), received));
        }
      }
      case ListGossipAction.QueryStoreVersions() -> {
        Map<ListKind, ListVersion> stored = Map.of(ListKind.PLANS, new ListVersion(version));
        events.scheduleAfter(
            Duration.ofMillis(10),
            () -> step(machine, new ListGossipInput.StoreVersionsRead(stored)));
      }
      case ListGossipAction.FetchFromStore fetch ->
          events.scheduleAfter(
              Duration.ofMillis(10),
              () -> step(machine, new ListGossipInput.ListReadFromStore(list())));
      case ListGossipAction.Apply apply -> {}
      case ListGossipAction.StoreIsBehind behind -> {}
    }
  }

  private PublishedList list() {
    String changed = "customer-new = plan-gold ; change " + version + "\n";
    int middle = text.indexOf('\n', text.length() / 2) + 1;
    return new PublishedList(
        ListKind.PLANS,
        new ListVersion(version),
        "writer-0123456789abcdef-" + version,
        "operator",
        Instant.EPOCH,
        "measured change",
        text.substring(0, middle) + changed + text.substring(middle));
  }

  private static String lines(int entries) {
    StringBuilder lines = new StringBuilder();
    for (int entry = 0; entry < entries; entry++) {
      lines.append(String.format(LINE_FORMAT, entry));
    }
    return lines.toString();
  }
}

package org.mimosacleat.lab.fuzz;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.mimosacleat.core.gossip.ListGossipAction;
import org.mimosacleat.core.gossip.ListGossipInput;
import org.mimosacleat.core.gossip.ListGossipParameters;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.lists.ListKind;
import org.mimosacleat.core.lists.ListVersion;
import org.mimosacleat.core.lists.PublishedList;
import org.mimosacleat.core.time.PausedClock;

/**
 * Simulates proxies that disseminate the operators' lists by gossip, and operators that edit the
 * lists by conditional writes. Commands choose the order in which messages are delivered.
 */
public final class ListSimulation {
  /** The number of proxies. */
  public static final int PROXIES = 4;

  private static final Duration STEP_DURATION = Duration.ofMillis(100);
  private static final int CONVERGENCE_STEPS = 100;

  private final ListComponents components;
  private final PausedClock clock = new PausedClock();
  private final Random random = new Random(1);
  private final Map<ListKind, PublishedList> store = new TreeMap<>();
  private final List<SimulatedListProxy> proxies = new ArrayList<>();
  private final Map<String, Long> appliedVersions = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private List<Delivery> pendingMessages = new ArrayList<>();
  private boolean storeDown;
  private boolean storeAnswersLost;
  private int acceptedEdits;

  /** Starts with no list in the store or on a proxy. */
  ListSimulation(ListComponents components) {
    this.components = components;
    IntStream.range(0, PROXIES).forEach(number -> proxies.add(newProxy(number)));
  }

  /** Creates a simulation that runs the production components. */
  public static ListSimulation withRealComponents() {
    return new ListSimulation(ListComponents.REAL);
  }

  /** Returns the violations found so far. */
  public List<String> violations() {
    return violations;
  }

  /** Returns how many edits were accepted. */
  public int acceptedEdits() {
    return acceptedEdits;
  }

  /** Edits a list through a proxy; returns false if the store is down. */
  public boolean edit(int proxy, ListKind kind) {
    return publish(proxy, kind, storedVersion(kind));
  }

  /** Edits the same version of a list twice; returns whether exactly one edit is accepted. */
  public boolean editConcurrently(int proxy, ListKind kind) {
    ListVersion baseVersion = storedVersion(kind);
    boolean first = publish(proxy, kind, baseVersion);
    boolean second = publish((proxy + 1) % PROXIES, kind, baseVersion);
    return first != second;
  }

  /** Advances time by steps of 100 ms and delivers all pending messages in each. */
  public void runSteps(int steps) {
    for (int step = 0; step < steps; step++) {
      clock.advance(STEP_DURATION);
      proxies.forEach(proxy -> proxy.step(new ListGossipInput.Tick()));
      List<Delivery> delivered = pendingMessages;
      pendingMessages = new ArrayList<>();
      delivered.forEach(this::deliver);
    }
  }

  /** Advances time without delivery, so that pending messages are delayed. */
  public void advanceWithoutDelivery(int steps) {
    for (int step = 0; step < steps; step++) {
      clock.advance(STEP_DURATION);
      proxies.forEach(proxy -> proxy.step(new ListGossipInput.Tick()));
    }
  }

  /** Delivers one pending message out of order. */
  public void deliverOne(int index) {
    if (!pendingMessages.isEmpty()) {
      deliver(pendingMessages.remove(index % pendingMessages.size()));
    }
  }

  /** Drops one pending message. */
  public void dropOne(int index) {
    if (!pendingMessages.isEmpty()) {
      pendingMessages.remove(index % pendingMessages.size());
    }
  }

  /** Replaces a proxy by one without any list. */
  public void replaceProxy(int proxy) {
    proxies.set(proxy, newProxy(proxy));
    appliedVersions.keySet().removeIf(key -> key.startsWith(vm(proxy) + " "));
  }

  /** Stops or starts the store. */
  public void setStoreDown(boolean down) {
    storeDown = down;
  }

  /** Sets whether the store accepts edits but its answers are lost. */
  public void setStoreAnswersLost(boolean lost) {
    storeAnswersLost = lost;
  }

  /** Ends all faults and checks that all accepted edits are in force everywhere 10 s later. */
  public void checkConvergence() {
    storeDown = false;
    storeAnswersLost = false;
    runSteps(CONVERGENCE_STEPS);
    store.forEach(
        (kind, list) ->
            proxies.forEach(
                proxy -> {
                  if (proxy.version(kind) != list.version().number()) {
                    violations.add(
                        "list change: "
                            + proxy.vm()
                            + " has "
                            + kind
                            + " "
                            + proxy.version(kind)
                            + " instead of "
                            + list.version());
                  }
                }));
  }

  Instant now() {
    return clock.instant();
  }

  PausedClock clock() {
    return clock;
  }

  Random random() {
    return random;
  }

  static VmId vm(int number) {
    return new VmId("vm" + number);
  }

  /** Records the version that a proxy has put in force, which must not decrease. */
  void recordApplied(VmId vm, ListKind kind, long version) {
    long previous = appliedVersions.getOrDefault(vm + " " + kind, 0L);
    appliedVersions.put(vm + " " + kind, version);
    if (version < previous) {
      violations.add(
          "list change: " + vm + " went from " + kind + " " + previous + " to " + version);
    }
  }

  void execute(SimulatedListProxy proxy, ListGossipAction action) {
    switch (action) {
      case ListGossipAction.Send send ->
          pendingMessages.add(
              new Delivery(number(send.to()), new ListGossipInput.Received(send.message())));
      case ListGossipAction.QueryStoreVersions() -> {
        if (!storeDown) {
          Map<ListKind, ListVersion> versions = new TreeMap<>();
          store.forEach((kind, list) -> versions.put(kind, list.version()));
          pendingMessages.add(
              new Delivery(number(proxy.vm()), new ListGossipInput.StoreVersionsRead(versions)));
        }
      }
      case ListGossipAction.FetchFromStore fetch -> {
        if (!storeDown) {
          pendingMessages.add(
              new Delivery(
                  number(proxy.vm()),
                  new ListGossipInput.ListReadFromStore(store.get(fetch.list()))));
        }
      }
      case ListGossipAction.Apply apply -> proxy.apply(apply.list());
      case ListGossipAction.StoreIsBehind staleStore -> {
        // Only raises an alert, also after a late answer of the store, so it is no violation.
      }
    }
  }

  private SimulatedListProxy newProxy(int number) {
    List<VmId> peers =
        IntStream.range(0, PROXIES).filter(n -> n != number).mapToObj(ListSimulation::vm).toList();
    SimulatedListProxy proxy =
        new SimulatedListProxy(vm(number), this, components, ListGossipParameters.STANDARD);
    proxy.step(new ListGossipInput.Peers(peers));
    return proxy;
  }

  private boolean publish(int proxy, ListKind kind, ListVersion baseVersion) {
    if (storeDown || !storedVersion(kind).equals(baseVersion)) {
      return false;
    }
    acceptedEdits++;
    PublishedList list =
        new PublishedList(
            kind,
            baseVersion.next(),
            "writer-" + acceptedEdits,
            "operator",
            now(),
            "",
            "# edit " + acceptedEdits + "\n");
    store.put(kind, list);
    if (!storeAnswersLost) {
      proxies.get(proxy).step(new ListGossipInput.ListReadFromStore(list));
    }
    return true;
  }

  private ListVersion storedVersion(ListKind kind) {
    return store.containsKey(kind) ? store.get(kind).version() : ListVersion.NONE;
  }

  private void deliver(Delivery delivery) {
    proxies.get(delivery.to()).step(delivery.input());
  }

  private static int number(VmId vm) {
    return Integer.parseInt(vm.value().substring(2));
  }

  /** A message in flight to a proxy. */
  private record Delivery(int to, ListGossipInput input) {}
}

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
 * Several proxies that spread the operators' lists, and operators that edit them by conditional
 * writes. Messages arrive in the order that the commands choose.
 */
public final class ListWorld {
  /** The number of proxies. */
  public static final int PROXIES = 4;

  private static final Duration STEP = Duration.ofMillis(100);
  private static final int STEPS_TO_BE_IN_FORCE = 100;

  private final ListDecisions decisions;
  private final PausedClock clock = new PausedClock();
  private final Random random = new Random(1);
  private final Map<ListKind, PublishedList> store = new TreeMap<>();
  private final List<ListNode> nodes = new ArrayList<>();
  private final Map<String, Long> highest = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private List<Delivery> messages = new ArrayList<>();
  private boolean storeDown;
  private boolean answersLost;
  private int edits;

  /** Starts without any list. */
  ListWorld(ListDecisions decisions) {
    this.decisions = decisions;
    IntStream.range(0, PROXIES).forEach(number -> nodes.add(node(number)));
  }

  /** Makes a world with the real decisions. */
  public static ListWorld real() {
    return new ListWorld(ListDecisions.REAL);
  }

  /** Returns what was violated. */
  public List<String> violations() {
    return violations;
  }

  /** Returns how many edits were accepted. */
  public int edits() {
    return edits;
  }

  /** An operator edits a list through a proxy; returns false if the store does not answer. */
  public boolean edit(int proxy, ListKind kind) {
    return publish(proxy, kind, storedVersion(kind));
  }

  /** Two operators edit the same version; returns whether exactly one is accepted. */
  public boolean race(int proxy, ListKind kind) {
    ListVersion base = storedVersion(kind);
    boolean first = publish(proxy, kind, base);
    boolean second = publish((proxy + 1) % PROXIES, kind, base);
    return first != second;
  }

  /** Lets time pass in steps of 100 ms, each of which delivers every message. */
  public void run(int steps) {
    for (int step = 0; step < steps; step++) {
      clock.advance(STEP);
      nodes.forEach(node -> node.step(new ListGossipInput.Tick()));
      List<Delivery> arriving = messages;
      messages = new ArrayList<>();
      arriving.forEach(this::arrive);
    }
  }

  /** Lets time pass without a delivery, so that messages grow old. */
  public void delay(int steps) {
    for (int step = 0; step < steps; step++) {
      clock.advance(STEP);
      nodes.forEach(node -> node.step(new ListGossipInput.Tick()));
    }
  }

  /** Lets one message arrive out of order. */
  public void deliverOne(int index) {
    if (!messages.isEmpty()) {
      arrive(messages.remove(index % messages.size()));
    }
  }

  /** Loses one message. */
  public void loseOne(int index) {
    if (!messages.isEmpty()) {
      messages.remove(index % messages.size());
    }
  }

  /** Replaces a proxy by one that has no list. */
  public void replace(int proxy) {
    nodes.set(proxy, node(proxy));
    highest.keySet().removeIf(key -> key.startsWith(vm(proxy) + " "));
  }

  /** Stops or starts the store. */
  public void storeDown(boolean down) {
    storeDown = down;
  }

  /** Sets whether the store takes edits and loses the answers. */
  public void answersLost(boolean lost) {
    answersLost = lost;
  }

  /** Ends all faults, waits ten seconds, and expects each accepted edit in force everywhere. */
  public void expectInForceEverywhere() {
    storeDown = false;
    answersLost = false;
    run(STEPS_TO_BE_IN_FORCE);
    store.forEach(
        (kind, list) ->
            nodes.forEach(
                node -> {
                  if (node.version(kind) != list.version().number()) {
                    violations.add(
                        "list change: "
                            + node.vm()
                            + " has "
                            + kind
                            + " "
                            + node.version(kind)
                            + " in place of "
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

  /** Takes note of what a proxy has put in force. */
  void inForce(VmId vm, ListKind kind, long version) {
    long before = highest.getOrDefault(vm + " " + kind, 0L);
    highest.put(vm + " " + kind, version);
    if (version < before) {
      violations.add("list change: " + vm + " went from " + kind + " " + before + " to " + version);
    }
  }

  void carryOut(ListNode node, ListGossipAction action) {
    switch (action) {
      case ListGossipAction.Send send ->
          messages.add(
              new Delivery(number(send.to()), new ListGossipInput.Received(send.message())));
      case ListGossipAction.QueryStoreVersions() -> {
        if (!storeDown) {
          Map<ListKind, ListVersion> versions = new TreeMap<>();
          store.forEach((kind, list) -> versions.put(kind, list.version()));
          messages.add(
              new Delivery(number(node.vm()), new ListGossipInput.StoreVersionsRead(versions)));
        }
      }
      case ListGossipAction.FetchFromStore fetch -> {
        if (!storeDown) {
          messages.add(
              new Delivery(
                  number(node.vm()),
                  new ListGossipInput.ListReadFromStore(store.get(fetch.list()))));
        }
      }
      case ListGossipAction.Apply apply -> node.apply(apply.list());
      case ListGossipAction.StoreIsBehind behind -> {
        // An alert; a late answer of the store raises it too.
      }
    }
  }

  private ListNode node(int number) {
    List<VmId> peers =
        IntStream.range(0, PROXIES).filter(n -> n != number).mapToObj(ListWorld::vm).toList();
    ListNode node = new ListNode(vm(number), this, decisions, ListGossipParameters.STANDARD);
    node.step(new ListGossipInput.Peers(peers));
    return node;
  }

  private boolean publish(int proxy, ListKind kind, ListVersion base) {
    if (storeDown || !storedVersion(kind).equals(base)) {
      return false;
    }
    edits++;
    PublishedList list =
        new PublishedList(
            kind, base.next(), "writer-" + edits, "operator", now(), "", "# edit " + edits + "\n");
    store.put(kind, list);
    if (!answersLost) {
      nodes.get(proxy).step(new ListGossipInput.ListReadFromStore(list));
    }
    return true;
  }

  private ListVersion storedVersion(ListKind kind) {
    return store.containsKey(kind) ? store.get(kind).version() : ListVersion.NONE;
  }

  private void arrive(Delivery delivery) {
    nodes.get(delivery.to()).step(delivery.input());
  }

  private static int number(VmId vm) {
    return Integer.parseInt(vm.value().substring(2));
  }

  /** A message on its way to a proxy. */
  private record Delivery(int to, ListGossipInput input) {}
}

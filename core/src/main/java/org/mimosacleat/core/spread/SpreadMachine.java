package org.mimosacleat.core.spread;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.random.RandomGenerator;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.lists.ListKind;
import org.mimosacleat.core.lists.ListVersion;
import org.mimosacleat.core.lists.PublishedList;

/**
 * Keeps the lists of one VM at the highest version that it can learn of.
 *
 * <p>A VM that learns of a new version tells a few random peers at once, with the change itself if
 * it is small. Each VM also compares versions with one random peer a round, and polls the store at
 * a rate shared by the fleet. A version never goes down, whoever says what.
 *
 * <p>Feed {@link #step} from one thread and carry out the actions it returns.
 */
public final class SpreadMachine {
  /** The largest change, in characters, that is sent along unasked. */
  public static final int MAXIMUM_PUSHED_TEXT = 1_000;

  private static final int PEERS_TO_BE_READY = 3;

  private final VmId self;
  private final InstantSource clock;
  private final RandomGenerator random;
  private final SpreadTimes times;
  private final Map<ListKind, HeldList> lists = new TreeMap<>();
  private final Set<VmId> answeredPeers = new HashSet<>();
  private final AtomicBoolean ready = new AtomicBoolean();

  private List<VmId> peers = List.of();
  private Instant nextRound;
  private Instant nextPoll;

  /**
   * Makes a machine without any list.
   *
   * @param self this VM
   * @param clock never steps backwards
   * @param random chooses peers and spreads polls
   * @param times durations and bounds
   */
  public SpreadMachine(VmId self, InstantSource clock, RandomGenerator random, SpreadTimes times) {
    this.self = self;
    this.clock = clock;
    this.random = random;
    this.times = times;
    this.nextRound = clock.instant();
    this.nextPoll = clock.instant();
  }

  /**
   * Tells whether this VM has asked enough to serve by its lists: the store, or a few peers if the
   * store does not answer. Safe to call from any thread.
   */
  public boolean isReady() {
    return ready.get();
  }

  /** Returns the versions in force; call it from the thread of steps. */
  public Map<ListKind, ListVersion> versions() {
    Map<ListKind, ListVersion> versions = new TreeMap<>();
    lists.forEach((list, held) -> versions.put(list, held.version()));
    return versions;
  }

  /** Takes one input and returns what has to be done about it. */
  public List<SpreadAction> step(SpreadInput input) {
    List<SpreadAction> actions = new ArrayList<>();
    switch (input) {
      case SpreadInput.Tick() -> tick(actions);
      case SpreadInput.Peers known -> peers = List.copyOf(known.peers());
      case SpreadInput.Received received -> received(received.message(), actions);
      case SpreadInput.FromStore fromStore ->
          take(
              List.of(new ListUpdate.Whole(fromStore.list())),
              "the store",
              Optional.empty(),
              actions);
      case SpreadInput.StoreVersions stored -> storeVersions(stored.versions(), actions);
    }
    return actions;
  }

  private void tick(List<SpreadAction> actions) {
    Instant now = clock.instant();
    if (!now.isBefore(nextRound) || !isReady()) {
      nextRound = now.plus(times.round());
      randomPeers(1).forEach(peer -> announce(peer, List.of(), actions));
    }
    if (!now.isBefore(nextPoll)) {
      nextPoll = now.plus(jittered(times.pollInterval(peers.size() + 1)));
      actions.add(new SpreadAction.AskStore());
    }
  }

  private void received(SpreadMessage message, List<SpreadAction> actions) {
    VmId from = message.sender();
    switch (message) {
      case SpreadMessage.Announce announce -> announced(announce, actions);
      case SpreadMessage.Fetch fetch -> answerFetch(from, fetch, actions);
      case SpreadMessage.Updates updates ->
          take(updates.updates(), "peer " + from, Optional.of(from), actions);
    }
  }

  private void announced(SpreadMessage.Announce announce, List<SpreadAction> actions) {
    VmId from = announce.sender();
    heardFrom(from);
    take(announce.updates(), "peer " + from, Optional.of(from), actions);
    boolean isBehind = false;
    for (Map.Entry<ListKind, HeldList> entry : lists.entrySet()) {
      ListVersion theirs = announce.versions().getOrDefault(entry.getKey(), ListVersion.NONE);
      isBehind |= entry.getValue().version().isAfter(theirs);
    }
    announce.versions().forEach((list, version) -> fetchIfBehind(from, list, version, actions));
    if (isBehind) {
      announce(from, missing(announce.versions()), actions);
    }
  }

  private void fetchIfBehind(
      VmId from, ListKind list, ListVersion theirs, List<SpreadAction> actions) {
    HeldList held = held(list);
    boolean isBehind = theirs.isAfter(held.version());
    if (isBehind && held.startFetch(clock.instant(), times.fetchTimeout())) {
      actions.add(new SpreadAction.Send(from, new SpreadMessage.Fetch(self, list, held.version())));
    }
  }

  private void answerFetch(VmId to, SpreadMessage.Fetch fetch, List<SpreadAction> actions) {
    HeldList held = held(fetch.list());
    if (!held.version().isAfter(fetch.have())) {
      return;
    }
    List<ListUpdate> updates = held.since(fetch.have());
    if (!updates.isEmpty()) {
      actions.add(new SpreadAction.Send(to, new SpreadMessage.Updates(self, updates)));
    }
  }

  private void storeVersions(Map<ListKind, ListVersion> stored, List<SpreadAction> actions) {
    ready.set(true);
    stored.forEach(
        (list, version) -> {
          HeldList held = held(list);
          boolean isBehind = version.isAfter(held.version());
          if (isBehind && held.startFetch(clock.instant(), times.fetchTimeout())) {
            actions.add(new SpreadAction.FetchFromStore(list, held.version()));
          }
          if (held.version().isAfter(version)) {
            actions.add(new SpreadAction.StoreIsBehind(list, held.version(), version));
          }
        });
  }

  private void take(
      List<ListUpdate> updates, String source, Optional<VmId> sender, List<SpreadAction> actions) {
    List<ListUpdate> taken = new ArrayList<>();
    for (ListUpdate update : updates) {
      HeldList held = held(update.kind());
      ListVersion before = held.version();
      Optional<PublishedList> next = held.take(update);
      if (next.isPresent()) {
        taken.addAll(held.since(before));
        String explanation =
            update.kind() + " " + update.version() + " replaces " + before + ", by " + source;
        actions.add(new SpreadAction.Apply(next.get(), explanation));
      }
    }
    if (taken.isEmpty()) {
      return;
    }
    List<ListUpdate> pushed = pushable(taken);
    for (VmId peer : randomPeers(times.fanout())) {
      if (!sender.equals(Optional.of(peer))) {
        announce(peer, pushed, actions);
      }
    }
  }

  private List<ListUpdate> missing(Map<ListKind, ListVersion> theirs) {
    List<ListUpdate> updates = new ArrayList<>();
    lists.forEach(
        (list, held) -> {
          ListVersion have = theirs.getOrDefault(list, ListVersion.NONE);
          if (held.version().isAfter(have)) {
            updates.addAll(held.since(have));
          }
        });
    return pushable(updates);
  }

  private static List<ListUpdate> pushable(List<ListUpdate> updates) {
    int length = updates.stream().mapToInt(ListUpdate::size).sum();
    return length <= MAXIMUM_PUSHED_TEXT ? List.copyOf(updates) : List.of();
  }

  private void announce(VmId to, List<ListUpdate> updates, List<SpreadAction> actions) {
    actions.add(new SpreadAction.Send(to, new SpreadMessage.Announce(self, versions(), updates)));
  }

  private void heardFrom(VmId peer) {
    if (isReady()) {
      return;
    }
    answeredPeers.add(peer);
    if (answeredPeers.size() >= Math.min(PEERS_TO_BE_READY, Math.max(1, peers.size()))) {
      ready.set(true);
    }
  }

  private HeldList held(ListKind list) {
    return lists.computeIfAbsent(list, unknown -> new HeldList());
  }

  private Set<VmId> randomPeers(int count) {
    Set<VmId> chosen = new HashSet<>();
    int wanted = Math.min(count, peers.size());
    while (chosen.size() < wanted) {
      chosen.add(peers.get(random.nextInt(peers.size())));
    }
    return chosen;
  }

  private Duration jittered(Duration mean) {
    return Duration.ofMillis(mean.toMillis() / 2 + random.nextLong(mean.toMillis()));
  }
}

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
 * Keeps the lists of one VM at the highest version known to its peers or the store.
 *
 * <p>A VM that receives a new version immediately announces it to a few random peers and includes
 * the change itself if it is small. Each VM also compares versions with one random peer per round
 * (anti-entropy) and polls the store at a rate that the fleet shares. The local version of a list
 * never decreases, whatever peers or the store report.
 *
 * <p>Call {@link #step} from one thread only and carry out the actions it returns.
 */
public final class SpreadMachine {
  /** The maximum total length of the changes in an announcement; longer ones must be fetched. */
  public static final int MAX_PUSHED_CHARACTERS = 1_000;

  private static final int PEERS_REQUIRED_FOR_READINESS = 3;

  private final VmId self;
  private final InstantSource clock;
  private final RandomGenerator random;
  private final SpreadTimes times;
  private final Map<ListKind, LocalList> localLists = new TreeMap<>();
  private final Set<VmId> answeredPeers = new HashSet<>();
  private final AtomicBoolean ready = new AtomicBoolean();

  private List<VmId> peers = List.of();
  private Instant nextRound;
  private Instant nextPoll;

  /**
   * Creates a state machine without any lists.
   *
   * @param self this VM
   * @param clock a clock that never goes backwards
   * @param random chooses peers and adds jitter to polls
   * @param times intervals, timeouts and limits
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
   * Returns whether the lists are recent enough to serve requests: the store has reported its
   * versions, or a few peers have if the store does not answer. May be called from any thread.
   */
  public boolean isReady() {
    return ready.get();
  }

  /** Returns the local versions; call it only from the thread that calls {@link #step}. */
  public Map<ListKind, ListVersion> versions() {
    Map<ListKind, ListVersion> versions = new TreeMap<>();
    localLists.forEach((list, local) -> versions.put(list, local.version()));
    return versions;
  }

  /** Processes one input and returns the actions to carry out. */
  public List<SpreadAction> step(SpreadInput input) {
    List<SpreadAction> actions = new ArrayList<>();
    switch (input) {
      case SpreadInput.Tick() -> tick(actions);
      case SpreadInput.Peers live -> peers = List.copyOf(live.peers());
      case SpreadInput.Received received -> handleMessage(received.message(), actions);
      case SpreadInput.FromStore fromStore ->
          applyUpdates(
              List.of(new ListUpdate.Whole(fromStore.list())),
              "the store",
              Optional.empty(),
              actions);
      case SpreadInput.StoreVersions stored -> handleStoreVersions(stored.versions(), actions);
    }
    return actions;
  }

  private void tick(List<SpreadAction> actions) {
    Instant now = clock.instant();
    if (!now.isBefore(nextRound) || !isReady()) {
      nextRound = now.plus(times.roundInterval());
      randomPeers(1).forEach(peer -> sendAnnounce(peer, List.of(), actions));
    }
    if (!now.isBefore(nextPoll)) {
      nextPoll = now.plus(jittered(times.pollInterval(peers.size() + 1)));
      actions.add(new SpreadAction.AskStore());
    }
  }

  private void handleMessage(SpreadMessage message, List<SpreadAction> actions) {
    VmId from = message.sender();
    switch (message) {
      case SpreadMessage.Announce announce -> handleAnnounce(announce, actions);
      case SpreadMessage.Fetch fetch -> answerFetch(from, fetch, actions);
      case SpreadMessage.Updates updates ->
          applyUpdates(updates.updates(), "peer " + from, Optional.of(from), actions);
    }
  }

  private void handleAnnounce(SpreadMessage.Announce announce, List<SpreadAction> actions) {
    VmId from = announce.sender();
    updateReadiness(from);
    applyUpdates(announce.updates(), "peer " + from, Optional.of(from), actions);
    boolean isSenderBehind = false;
    for (Map.Entry<ListKind, LocalList> entry : localLists.entrySet()) {
      ListVersion senderVersion =
          announce.versions().getOrDefault(entry.getKey(), ListVersion.NONE);
      isSenderBehind |= entry.getValue().version().isAfter(senderVersion);
    }
    announce.versions().forEach((list, version) -> fetchIfBehind(from, list, version, actions));
    if (isSenderBehind) {
      sendAnnounce(from, missingUpdates(announce.versions()), actions);
    }
  }

  private void fetchIfBehind(
      VmId from, ListKind list, ListVersion senderVersion, List<SpreadAction> actions) {
    LocalList local = localList(list);
    boolean isBehind = senderVersion.isAfter(local.version());
    if (isBehind && local.tryStartFetch(clock.instant(), times.fetchTimeout())) {
      actions.add(
          new SpreadAction.Send(from, new SpreadMessage.Fetch(self, list, local.version())));
    }
  }

  private void answerFetch(VmId to, SpreadMessage.Fetch fetch, List<SpreadAction> actions) {
    LocalList local = localList(fetch.list());
    if (!local.version().isAfter(fetch.have())) {
      return;
    }
    List<ListUpdate> updates = local.updatesSince(fetch.have());
    if (!updates.isEmpty()) {
      actions.add(new SpreadAction.Send(to, new SpreadMessage.Updates(self, updates)));
    }
  }

  private void handleStoreVersions(Map<ListKind, ListVersion> stored, List<SpreadAction> actions) {
    ready.set(true);
    stored.forEach(
        (list, version) -> {
          LocalList local = localList(list);
          boolean isBehind = version.isAfter(local.version());
          if (isBehind && local.tryStartFetch(clock.instant(), times.fetchTimeout())) {
            actions.add(new SpreadAction.FetchFromStore(list, local.version()));
          }
          if (local.version().isAfter(version)) {
            actions.add(new SpreadAction.StoreIsBehind(list, local.version(), version));
          }
        });
  }

  private void applyUpdates(
      List<ListUpdate> updates, String source, Optional<VmId> sender, List<SpreadAction> actions) {
    List<ListUpdate> applied = new ArrayList<>();
    for (ListUpdate update : updates) {
      LocalList local = localList(update.kind());
      ListVersion before = local.version();
      Optional<PublishedList> next = local.apply(update);
      if (next.isPresent()) {
        applied.addAll(local.updatesSince(before));
        String explanation =
            update.kind()
                + " version "
                + update.version()
                + " replaces version "
                + before
                + ", received from "
                + source;
        actions.add(new SpreadAction.Apply(next.get(), explanation));
      }
    }
    if (applied.isEmpty()) {
      return;
    }
    List<ListUpdate> pushed = limitPushSize(applied);
    for (VmId peer : randomPeers(times.fanout())) {
      if (!sender.equals(Optional.of(peer))) {
        sendAnnounce(peer, pushed, actions);
      }
    }
  }

  private List<ListUpdate> missingUpdates(Map<ListKind, ListVersion> peerVersions) {
    List<ListUpdate> updates = new ArrayList<>();
    localLists.forEach(
        (list, local) -> {
          ListVersion peerVersion = peerVersions.getOrDefault(list, ListVersion.NONE);
          if (local.version().isAfter(peerVersion)) {
            updates.addAll(local.updatesSince(peerVersion));
          }
        });
    return limitPushSize(updates);
  }

  private static List<ListUpdate> limitPushSize(List<ListUpdate> updates) {
    int length = updates.stream().mapToInt(ListUpdate::textLength).sum();
    return length <= MAX_PUSHED_CHARACTERS ? List.copyOf(updates) : List.of();
  }

  private void sendAnnounce(VmId to, List<ListUpdate> updates, List<SpreadAction> actions) {
    actions.add(new SpreadAction.Send(to, new SpreadMessage.Announce(self, versions(), updates)));
  }

  private void updateReadiness(VmId peer) {
    if (isReady()) {
      return;
    }
    answeredPeers.add(peer);
    if (answeredPeers.size() >= Math.min(PEERS_REQUIRED_FOR_READINESS, Math.max(1, peers.size()))) {
      ready.set(true);
    }
  }

  private LocalList localList(ListKind list) {
    return localLists.computeIfAbsent(list, missing -> new LocalList());
  }

  private Set<VmId> randomPeers(int count) {
    Set<VmId> chosen = new HashSet<>();
    int targetCount = Math.min(count, peers.size());
    while (chosen.size() < targetCount) {
      chosen.add(peers.get(random.nextInt(peers.size())));
    }
    return chosen;
  }

  private Duration jittered(Duration mean) {
    return Duration.ofMillis(mean.toMillis() / 2 + random.nextLong(mean.toMillis()));
  }
}

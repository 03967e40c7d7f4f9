package org.mimosacleat.core.gossip;

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
public final class ListGossipStateMachine {
  /** The maximum total length of the changes in an announcement; longer ones must be fetched. */
  public static final int MAX_PUSHED_CHARACTERS = 1_000;

  private static final int PEERS_REQUIRED_FOR_READINESS = 3;

  private final VmId self;
  private final InstantSource clock;
  private final RandomGenerator random;
  private final ListGossipParameters parameters;
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
   * @param parameters intervals, timeouts and limits
   */
  public ListGossipStateMachine(
      VmId self, InstantSource clock, RandomGenerator random, ListGossipParameters parameters) {
    this.self = self;
    this.clock = clock;
    this.random = random;
    this.parameters = parameters;
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
  public List<ListGossipAction> step(ListGossipInput input) {
    List<ListGossipAction> actions = new ArrayList<>();
    switch (input) {
      case ListGossipInput.Tick() -> tick(actions);
      case ListGossipInput.Peers live -> peers = List.copyOf(live.peers());
      case ListGossipInput.Received received -> handleMessage(received.message(), actions);
      case ListGossipInput.ListReadFromStore fromStore ->
          applyUpdates(
              List.of(new ListUpdate.Full(fromStore.list())),
              "the store",
              Optional.empty(),
              actions);
      case ListGossipInput.StoreVersionsRead stored ->
          handleStoreVersions(stored.versions(), actions);
    }
    return actions;
  }

  private void tick(List<ListGossipAction> actions) {
    Instant now = clock.instant();
    if (!now.isBefore(nextRound) || !isReady()) {
      nextRound = now.plus(parameters.roundInterval());
      randomPeers(1).forEach(peer -> sendAnnounce(peer, List.of(), actions));
    }
    if (!now.isBefore(nextPoll)) {
      nextPoll = now.plus(jittered(parameters.pollInterval(peers.size() + 1)));
      actions.add(new ListGossipAction.QueryStoreVersions());
    }
  }

  private void handleMessage(ListGossipMessage message, List<ListGossipAction> actions) {
    VmId from = message.sender();
    switch (message) {
      case ListGossipMessage.Announce announce -> handleAnnounce(announce, actions);
      case ListGossipMessage.Fetch fetch -> answerFetch(from, fetch, actions);
      case ListGossipMessage.Updates updates ->
          applyUpdates(updates.updates(), "peer " + from, Optional.of(from), actions);
    }
  }

  private void handleAnnounce(ListGossipMessage.Announce announce, List<ListGossipAction> actions) {
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
      VmId from, ListKind list, ListVersion senderVersion, List<ListGossipAction> actions) {
    LocalList local = localList(list);
    boolean isBehind = senderVersion.isAfter(local.version());
    if (isBehind && local.tryStartFetch(clock.instant(), parameters.fetchTimeout())) {
      actions.add(
          new ListGossipAction.Send(
              from, new ListGossipMessage.Fetch(self, list, local.version())));
    }
  }

  private void answerFetch(VmId to, ListGossipMessage.Fetch fetch, List<ListGossipAction> actions) {
    LocalList local = localList(fetch.list());
    if (!local.version().isAfter(fetch.senderVersion())) {
      return;
    }
    List<ListUpdate> updates = local.updatesSince(fetch.senderVersion());
    if (!updates.isEmpty()) {
      actions.add(new ListGossipAction.Send(to, new ListGossipMessage.Updates(self, updates)));
    }
  }

  private void handleStoreVersions(
      Map<ListKind, ListVersion> stored, List<ListGossipAction> actions) {
    ready.set(true);
    stored.forEach(
        (list, version) -> {
          LocalList local = localList(list);
          boolean isBehind = version.isAfter(local.version());
          if (isBehind && local.tryStartFetch(clock.instant(), parameters.fetchTimeout())) {
            actions.add(new ListGossipAction.FetchFromStore(list, local.version()));
          }
          if (local.version().isAfter(version)) {
            actions.add(new ListGossipAction.StoreIsBehind(list, local.version(), version));
          }
        });
  }

  private void applyUpdates(
      List<ListUpdate> updates,
      String source,
      Optional<VmId> sender,
      List<ListGossipAction> actions) {
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
        actions.add(new ListGossipAction.Apply(next.get(), explanation));
      }
    }
    if (applied.isEmpty()) {
      return;
    }
    List<ListUpdate> pushed = limitPushSize(applied);
    for (VmId peer : randomPeers(parameters.fanout())) {
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

  private void sendAnnounce(VmId to, List<ListUpdate> updates, List<ListGossipAction> actions) {
    actions.add(
        new ListGossipAction.Send(to, new ListGossipMessage.Announce(self, versions(), updates)));
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

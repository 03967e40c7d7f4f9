package org.mimosacleat.proxy.fleet;

import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.mimosacleat.core.gossip.ListGossipAction;
import org.mimosacleat.core.gossip.ListGossipInput;
import org.mimosacleat.core.gossip.ListGossipMessage;
import org.mimosacleat.core.gossip.ListGossipParameters;
import org.mimosacleat.core.gossip.ListGossipStateMachine;
import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.lists.ActiveLists;
import org.mimosacleat.core.lists.CustomerAllowance;
import org.mimosacleat.core.lists.ListKind;
import org.mimosacleat.core.lists.ListRegistry;
import org.mimosacleat.core.lists.ListVersion;
import org.mimosacleat.core.lists.ListVersions;
import org.mimosacleat.core.lists.OfferResult;
import org.mimosacleat.core.lists.PublishedList;
import org.mimosacleat.core.status.ListStatus;
import org.mimosacleat.proxy.client.CustomerDirectory;
import org.mimosacleat.proxy.concurrent.Mailbox;
import org.mimosacleat.store.lists.ListFetcher;
import org.mimosacleat.wire.fleet.ListGossipMessageCodec;
import org.tinylog.Logger;

/** Keeps the operators' lists on this proxy up to date, from the store and from peers. */
public final class ListUpdater implements CustomerDirectory, AutoCloseable {
  private static final Duration TICK_INTERVAL = Duration.ofMillis(100);
  private static final Duration STORE_TIMEOUT = Duration.ofSeconds(2);

  private final ListRegistry registry = new ListRegistry();
  private final Map<ListKind, ListStatus> statuses = new ConcurrentHashMap<>();
  private final InstantSource clock;
  private final CountDownLatch ready = new CountDownLatch(1);
  private final ListGossipStateMachine machine;
  private final FleetState fleet;
  private final FleetSender sender;
  private final ListFetcher fetcher;
  private final ExecutorService executor;
  private final VmId self;
  private final Mailbox mailbox = new Mailbox(TICK_INTERVAL, this::tick);

  /** Creates an updater without any list. */
  public ListUpdater(
      VmId self,
      FleetState fleet,
      FleetSender sender,
      ListFetcher fetcher,
      InstantSource clock,
      RandomGenerator random,
      ExecutorService executor) {
    this.self = self;
    this.fleet = fleet;
    this.sender = sender;
    this.fetcher = fetcher;
    this.executor = executor;
    this.clock = clock;
    this.machine = new ListGossipStateMachine(self, clock, random, ListGossipParameters.STANDARD);
  }

  /** Starts to read the lists from the store and from peers. */
  public void start() {
    mailbox.start(executor);
  }

  /** Returns the version of each active list, with its editor and source. */
  public List<ListStatus> status() {
    return List.copyOf(statuses.values());
  }

  /** Returns the currently active lists. */
  public ActiveLists activeLists() {
    return registry.activeLists();
  }

  /**
   * Returns whether the lists have been requested from enough sources to reject a customer that
   * they do not contain.
   */
  public boolean isReady() {
    return ready.getCount() == 0;
  }

  @Override
  public boolean awaitReady(Duration timeout) {
    try {
      return ready.await(timeout.toNanos(), TimeUnit.NANOSECONDS);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  @Override
  public Optional<CustomerAllowance> find(TeamId customer) {
    return registry.activeLists().allowance(customer);
  }

  /** Queues a message from a peer and returns immediately. */
  public void receive(ListGossipMessage message) {
    mailbox.post(() -> step(new ListGossipInput.Received(message)));
  }

  @Override
  public void close() {
    mailbox.close();
  }

  private void tick() {
    List<VmId> peers = fleet.liveVms().stream().filter(vm -> !vm.equals(self)).toList();
    step(new ListGossipInput.Peers(peers));
    step(new ListGossipInput.Tick());
    if (machine.isReady() && !registry.activeLists().customers().isEmpty()) {
      ready.countDown();
    }
  }

  private void step(ListGossipInput input) {
    machine.step(input).forEach(this::execute);
  }

  private void execute(ListGossipAction action) {
    switch (action) {
      case ListGossipAction.Send send ->
          sender.send(
              send.to(), FleetChannel.LISTS, () -> ListGossipMessageCodec.encode(send.message()));
      case ListGossipAction.QueryStoreVersions() -> executor.submit(this::readStoreVersions);
      case ListGossipAction.FetchFromStore fetch ->
          executor.submit(() -> readFromStore(fetch.list()));
      case ListGossipAction.Apply apply -> apply(apply);
      case ListGossipAction.StoreIsBehind behind ->
          Logger.error(
              "the store has {} version {}, older than {}, which is active here; keeping the newer",
              behind.list(),
              behind.storeVersion(),
              behind.localVersion());
    }
  }

  private void readStoreVersions() {
    fetcher
        .versions(STORE_TIMEOUT)
        .peek(versions -> mailbox.post(() -> step(storeVersions(versions))));
  }

  private static ListGossipInput storeVersions(ListVersions versions) {
    Map<ListKind, ListVersion> byKind = new TreeMap<>();
    for (ListKind kind : ListKind.values()) {
      byKind.put(kind, versions.of(kind));
    }
    return new ListGossipInput.StoreVersionsRead(byKind);
  }

  private void readFromStore(ListKind kind) {
    fetcher.newest(kind, STORE_TIMEOUT).peek(found -> found.ifPresent(this::offerFromStore));
  }

  private void offerFromStore(PublishedList list) {
    mailbox.post(() -> step(new ListGossipInput.ListReadFromStore(list)));
  }

  private void apply(ListGossipAction.Apply apply) {
    switch (registry.offer(apply.list())) {
      case OfferResult.Applied applied -> {
        Logger.info("{} ({})", applied.explanation(), apply.explanation());
        PublishedList list = applied.list();
        statuses.put(
            list.kind(),
            new ListStatus(
                list.kind(), list.version(), list.editor(), clock.instant(), apply.explanation()));
      }
      case OfferResult.Rejected rejected ->
          Logger.error(
              "{} version {} rejected: {}; the active list stays",
              apply.list().kind(),
              apply.list().version(),
              rejected.problems().getFirst().message());
      case OfferResult.Conflicting conflicting ->
          Logger.error(
              "{} version {} exists in two copies: kept the one by {}, ignored the one by {}",
              apply.list().kind(),
              apply.list().version(),
              conflicting.activeWriter(),
              conflicting.offeredWriter());
      case OfferResult.NotNewer notNewer -> {
        // The registry already has this version or a newer one.
      }
    }
  }
}

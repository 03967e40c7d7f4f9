package org.mimosacleat.proxy.node;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.retry.BudgetedRetryPolicy;
import org.mimosacleat.core.retry.RetrySettings;
import org.mimosacleat.core.status.ProxyStatus;
import org.mimosacleat.core.time.MonotonicClock;
import org.mimosacleat.proxy.client.ClientListener;
import org.mimosacleat.proxy.dispatch.Dispatcher;
import org.mimosacleat.proxy.fleet.FleetMessenger;
import org.mimosacleat.proxy.fleet.FleetSender;
import org.mimosacleat.proxy.fleet.FleetState;
import org.mimosacleat.proxy.fleet.ListUpdater;
import org.mimosacleat.proxy.fleet.MembershipService;
import org.mimosacleat.proxy.fleet.PlatformVmSource;
import org.mimosacleat.proxy.fleet.ShareService;
import org.mimosacleat.proxy.home.DecisionJournal;
import org.mimosacleat.proxy.home.HomeContext;
import org.mimosacleat.proxy.home.Homes;
import org.mimosacleat.proxy.operations.BatchMetrics;
import org.mimosacleat.proxy.operations.OperationsServer;
import org.mimosacleat.proxy.peer.PeerConnections;
import org.mimosacleat.proxy.peer.PeerListener;
import org.mimosacleat.proxy.settings.GroupSettings;
import org.mimosacleat.proxy.settings.PeerSettings;
import org.mimosacleat.proxy.settings.ProxySettings;
import org.mimosacleat.store.lists.ListFetcher;
import org.mimosacleat.store.status.StatusWriter;
import org.mimosacleat.wire.peer.PeerAuthenticator;
import org.tinylog.Logger;

/**
 * A running proxy with all its components.
 *
 * <pre>{@code
 * try (ProxyNode node = ProxyNode.start(settings, platform)) {
 *   node.callerAddress();
 * }
 * }</pre>
 */
public final class ProxyNode implements AutoCloseable {
  private static final Duration PEER_TIMEOUT = Duration.ofMillis(500);
  private static final Duration TABLE_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration DRAIN_POLL_INTERVAL = Duration.ofMillis(20);

  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
  private final Clock clock = new MonotonicClock();
  private final SecureRandom random = new SecureRandom();
  private final VmId self;
  private final DecisionJournal journal = new DecisionJournal(clock);
  private final PeerConnections peerConnections;
  private final MembershipService membership;
  private final ListUpdater lists;
  private final ShareService shares;
  private final Homes homes;
  private final PeerListener peerListener;
  private final ClientListener clientListener;
  private final AvailabilityZone zone;
  private final OperationsServer operations;
  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final Instant startedAt = clock.instant();

  private ProxyNode(ProxySettings settings, PlatformServices platform) throws IOException {
    List<GroupId> groups = settings.groups().stream().map(GroupSettings::id).toList();
    List<PeerSettings> seeds = new ArrayList<>(settings.peers());
    seeds.add(settings.self());
    FleetState fleet = new FleetState(clock, seeds, groups);
    PeerAuthenticator authenticator =
        new PeerAuthenticator(settings.self().id(), settings.peerKey().value(), random);
    int maxMessageBytes = settings.limits().maxAnswerBytes() + settings.limits().maxFrameBytes();
    this.self = settings.self().id();
    this.peerConnections =
        new PeerConnections(fleet, authenticator, executor, PEER_TIMEOUT, maxMessageBytes);
    FleetSender sender = new FleetSender(peerConnections, executor);
    this.membership =
        new MembershipService(
            settings.self(),
            fleet,
            sender,
            new PlatformVmSource(seeds, platform.vmList(), clock, this::onLeavingEndpoints),
            clock,
            random,
            executor);
    this.lists =
        new ListUpdater(
            self,
            fleet,
            sender,
            new ListFetcher(platform.table(), platform.objects()),
            clock,
            random,
            executor);
    this.shares = new ShareService(self, fleet, lists, sender, clock, executor);
    this.homes =
        Homes.of(
            settings.groups(),
            new HomeContext(
                self,
                settings.self().zone(),
                clock,
                random,
                executor,
                platform.table(),
                TABLE_TIMEOUT,
                new FleetMessenger(fleet, sender),
                shares,
                settings.limits(),
                settings.monitor(),
                journal));
    this.peerListener =
        new PeerListener(
            settings.listen().peers(),
            authenticator,
            homes,
            new FleetMessageRouter(homes, membership, lists, shares),
            executor,
            PEER_TIMEOUT,
            maxMessageBytes);
    this.clientListener =
        new ClientListener(
            settings.listen().clients(),
            new Dispatcher(
                self,
                fleet,
                homes,
                peerConnections,
                clock,
                random,
                new BudgetedRetryPolicy(clock, random, RetrySettings.DEFAULT)),
            settings.limits(),
            settings.authentication(),
            lists,
            new BatchMetrics(registry),
            clock,
            Set.copyOf(groups),
            executor,
            random);
    this.zone = settings.self().zone();
    this.operations =
        new OperationsServer(
            settings.listen().operations(),
            () -> StatusWriter.format(status()),
            registry::scrape,
            executor);
    registry.gauge("mimosacleat.clients", clientListener, ClientListener::connectionCount);
    registry.gauge("mimosacleat.homes", homes, served -> served.servedGroups().size());
    registry.gauge("mimosacleat.transactions.open", homes, Homes::openTransactionCount);
  }

  /**
   * Starts a proxy.
   *
   * @param settings the validated settings
   * @param platform the platform's services
   * @throws IOException if an address cannot be bound
   */
  public static ProxyNode start(ProxySettings settings, PlatformServices platform)
      throws IOException {
    ProxyNode node = new ProxyNode(settings, platform);
    node.peerListener.start();
    node.membership.start();
    node.lists.start();
    node.shares.start();
    node.homes.start();
    node.clientListener.start();
    node.operations.start();
    Logger.info(
        "proxy started: clients at {}, peers at {}", node.clientAddress(), node.peerAddress());
    return node;
  }

  /** Returns the id of this proxy's VM. */
  public VmId id() {
    return self;
  }

  /** Returns the address for clients. */
  public InetSocketAddress clientAddress() {
    return clientListener.address();
  }

  /** Returns the address for other proxies. */
  public InetSocketAddress peerAddress() {
    return peerListener.address();
  }

  /** Returns the groups whose home is this proxy. */
  public List<GroupId> servedGroups() {
    return homes.servedGroups();
  }

  /** Returns the address that serves status and metrics. */
  public InetSocketAddress operationsAddress() {
    return operations.address();
  }

  /** Returns the lists in force, the groups' status and the latest decisions of this proxy. */
  public ProxyStatus status() {
    return new ProxyStatus(
        self,
        zone,
        clock.instant(),
        startedAt,
        lists.status(),
        homes.status(),
        List.of(),
        journal.latest());
  }

  /**
   * Stops gracefully: rejects new clients, hands its homes over, waits for work in flight, then
   * closes everything.
   *
   * @param limit how long to wait before client connections with work in flight are closed
   * @return whether no client connection had to be closed
   */
  public boolean drain(Duration limit) throws InterruptedException {
    final Instant end = clock.instant().plus(limit);
    clientListener.stopAccepting();
    membership.leave();
    homes.handOverAll();
    clientListener.drainConnections();
    while (isBusy() && clock.instant().isBefore(end)) {
      Thread.sleep(DRAIN_POLL_INTERVAL);
    }
    boolean clean = clientListener.connectionCount() == 0;
    close();
    return clean;
  }

  /** Stops immediately and interrupts any work in flight. */
  @Override
  public void close() {
    operations.close();
    clientListener.close();
    peerListener.close();
    peerConnections.close();
    homes.close();
    shares.close();
    lists.close();
    membership.close();
    executor.shutdownNow();
  }

  /** Called only after the node has started, when {@code homes} is assigned. */
  private void onLeavingEndpoints(Instant requestedAt, Set<EndpointId> leaving) {
    homes.updateLeavingEndpoints(requestedAt, leaving);
  }

  private boolean isBusy() {
    return clientListener.connectionCount() > 0 || !homes.servedGroups().isEmpty();
  }
}

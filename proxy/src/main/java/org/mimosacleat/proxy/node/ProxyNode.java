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
import org.mimosacleat.proxy.caller.CallerListener;
import org.mimosacleat.proxy.dispatch.Dispatcher;
import org.mimosacleat.proxy.fleet.FleetMessenger;
import org.mimosacleat.proxy.fleet.FleetSender;
import org.mimosacleat.proxy.fleet.ListKeeper;
import org.mimosacleat.proxy.fleet.LiveFleet;
import org.mimosacleat.proxy.fleet.MembershipDriver;
import org.mimosacleat.proxy.fleet.PlatformVmSource;
import org.mimosacleat.proxy.fleet.ShareKeeper;
import org.mimosacleat.proxy.home.DecisionJournal;
import org.mimosacleat.proxy.home.HomeContext;
import org.mimosacleat.proxy.home.Homes;
import org.mimosacleat.proxy.operations.BatchMetrics;
import org.mimosacleat.proxy.operations.OperationsServer;
import org.mimosacleat.proxy.peer.PeerLinks;
import org.mimosacleat.proxy.peer.PeerListener;
import org.mimosacleat.proxy.settings.GroupSettings;
import org.mimosacleat.proxy.settings.PeerSettings;
import org.mimosacleat.proxy.settings.ProxySettings;
import org.mimosacleat.store.lists.ListFetcher;
import org.mimosacleat.store.status.StatusJson;
import org.mimosacleat.wire.peer.PeerAuthenticator;
import org.tinylog.Logger;

/**
 * One proxy.
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
  private static final Duration DRAIN_STEP = Duration.ofMillis(20);

  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
  private final Clock clock = new MonotonicClock();
  private final SecureRandom random = new SecureRandom();
  private final VmId self;
  private final DecisionJournal journal = new DecisionJournal(clock);
  private final PeerLinks links;
  private final MembershipDriver members;
  private final ListKeeper lists;
  private final ShareKeeper shares;
  private final Homes homes;
  private final PeerListener peers;
  private final CallerListener callers;
  private final AvailabilityZone zone;
  private final OperationsServer operations;
  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final Instant startedAt = clock.instant();

  private ProxyNode(ProxySettings settings, PlatformServices platform) throws IOException {
    List<GroupId> groups = settings.groups().stream().map(GroupSettings::id).toList();
    List<PeerSettings> seeds = new ArrayList<>(settings.peers());
    seeds.add(settings.self());
    LiveFleet fleet = new LiveFleet(clock, seeds, groups);
    PeerAuthenticator authenticator =
        new PeerAuthenticator(settings.self().id(), settings.peerKey().value(), random);
    int messageBytes = settings.limits().answerBytes() + settings.limits().frameBytes();
    this.self = settings.self().id();
    this.links = new PeerLinks(fleet, authenticator, executor, PEER_TIMEOUT, messageBytes);
    FleetSender sender = new FleetSender(links, executor);
    this.members =
        new MembershipDriver(
            settings.self(),
            fleet,
            sender,
            new PlatformVmSource(seeds, platform.vmList(), clock, this::endpointsListed),
            clock,
            random,
            executor);
    this.lists =
        new ListKeeper(
            self,
            fleet,
            sender,
            new ListFetcher(platform.table(), platform.objects()),
            clock,
            random,
            executor);
    this.shares = new ShareKeeper(self, fleet, lists, sender, clock, executor);
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
    this.peers =
        new PeerListener(
            settings.listen().peers(),
            authenticator,
            homes,
            new FleetReceivers(homes, members, lists, shares),
            executor,
            PEER_TIMEOUT,
            messageBytes);
    this.callers =
        new CallerListener(
            settings.listen().callers(),
            new Dispatcher(
                self,
                fleet,
                homes,
                links,
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
            () -> StatusJson.print(status()),
            registry::scrape,
            executor);
    registry.gauge("mimosacleat.clients", callers, CallerListener::connectionCount);
    registry.gauge("mimosacleat.homes", homes, served -> served.served().size());
    registry.gauge("mimosacleat.transactions.open", homes, Homes::openTransactions);
  }

  /**
   * Starts a proxy.
   *
   * @param platform the platform's services
   * @throws IOException if an address cannot be bound
   */
  public static ProxyNode start(ProxySettings settings, PlatformServices platform)
      throws IOException {
    ProxyNode node = new ProxyNode(settings, platform);
    node.peers.start();
    node.members.start();
    node.lists.start();
    node.shares.start();
    node.homes.start();
    node.callers.start();
    node.operations.start();
    Logger.info("started; clients at {}, peers at {}", node.callerAddress(), node.peerAddress());
    return node;
  }

  /** Returns this VM. */
  public VmId id() {
    return self;
  }

  /** Returns where clients connect. */
  public InetSocketAddress callerAddress() {
    return callers.address();
  }

  /** Returns where other proxies connect. */
  public InetSocketAddress peerAddress() {
    return peers.address();
  }

  /** Returns the groups that this proxy is home of now. */
  public List<GroupId> servedGroups() {
    return homes.served();
  }

  /** Returns where status and metrics are served. */
  public InetSocketAddress operationsAddress() {
    return operations.address();
  }

  /** Returns what this proxy has in force and has decided. */
  public ProxyStatus status() {
    return new ProxyStatus(
        self,
        zone,
        clock.instant(),
        startedAt,
        lists.status(),
        homes.status(),
        List.of(),
        journal.last());
  }

  /**
   * Stops gracefully: homes are handed over, no new clients, work in flight is finished, then the
   * rest is closed.
   *
   * @param limit after which connections with work in flight are cut off
   * @return whether nothing was cut off
   */
  public boolean drain(Duration limit) throws InterruptedException {
    final Instant end = clock.instant().plus(limit);
    callers.stopAccepting();
    members.leave();
    homes.handOverAll();
    callers.stopIdle();
    while (isBusy() && clock.instant().isBefore(end)) {
      Thread.sleep(DRAIN_STEP);
    }
    boolean clean = callers.connectionCount() == 0;
    close();
    return clean;
  }

  /** Stops at once; whatever is in flight is cut off. */
  @Override
  public void close() {
    operations.close();
    callers.close();
    peers.close();
    links.close();
    homes.close();
    shares.close();
    lists.close();
    members.close();
    executor.shutdownNow();
  }

  /** Called only once the node has started, so the homes are there. */
  private void endpointsListed(Instant askedAt, Set<EndpointId> leaving) {
    homes.endpointsListed(askedAt, leaving);
  }

  private boolean isBusy() {
    return callers.connectionCount() > 0 || !homes.served().isEmpty();
  }
}

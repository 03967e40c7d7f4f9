package org.mimosacleat.proxy.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.time.MonotonicClock;
import org.mimosacleat.platform.table.TableService;
import org.mimosacleat.proxy.caller.CallerListener;
import org.mimosacleat.proxy.dispatch.Dispatcher;
import org.mimosacleat.proxy.home.DecisionJournal;
import org.mimosacleat.proxy.home.HomeContext;
import org.mimosacleat.proxy.home.Homes;
import org.mimosacleat.proxy.peer.PeerLinks;
import org.mimosacleat.proxy.peer.PeerListener;
import org.mimosacleat.proxy.settings.GroupSettings;
import org.mimosacleat.proxy.settings.ProxySettings;
import org.mimosacleat.wire.fleet.HomeMessageCodec;
import org.mimosacleat.wire.peer.PeerAuthenticator;
import org.mimosacleat.wire.peer.PeerMessage;
import org.mimosacleat.wire.peer.PeerProtocolException;
import org.tinylog.Logger;

/**
 * One proxy.
 *
 * <pre>{@code
 * try (ProxyNode node = ProxyNode.start(settings, table)) {
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
  private final Homes homes;
  private final PeerListener peers;
  private final CallerListener callers;

  private ProxyNode(ProxySettings settings, TableService table) throws IOException {
    List<GroupId> groups = settings.groups().stream().map(GroupSettings::id).toList();
    StaticFleet fleet = new StaticFleet(settings.self(), settings.peers(), groups);
    PeerAuthenticator authenticator =
        new PeerAuthenticator(settings.self().id(), settings.peerKey().value(), random);
    int messageBytes = settings.limits().answerBytes() + settings.limits().frameBytes();
    this.self = settings.self().id();
    this.links = new PeerLinks(fleet, authenticator, executor, PEER_TIMEOUT, messageBytes);
    this.homes =
        Homes.of(
            settings.groups(),
            new HomeContext(
                settings.self().id(),
                settings.self().zone(),
                clock,
                random,
                executor,
                table,
                TABLE_TIMEOUT,
                new LinkMessenger(fleet, links, executor),
                settings.limits(),
                settings.monitor(),
                journal));
    this.peers =
        new PeerListener(
            settings.listen().peers(),
            authenticator,
            homes,
            this::receive,
            executor,
            PEER_TIMEOUT,
            messageBytes);
    this.callers =
        new CallerListener(
            settings.listen().callers(),
            new Dispatcher(settings.self().id(), fleet, homes, links, clock, random),
            settings.limits(),
            java.util.Set.copyOf(groups),
            executor,
            random);
  }

  /**
   * Starts a proxy.
   *
   * @param table the platform's table service
   * @throws IOException if an address cannot be bound
   */
  public static ProxyNode start(ProxySettings settings, TableService table) throws IOException {
    ProxyNode node = new ProxyNode(settings, table);
    node.peers.start();
    node.homes.start();
    node.callers.start();
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

  /** Returns the last decisions in words, oldest first. */
  public List<String> decisions() {
    return journal.last();
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
    callers.close();
    peers.close();
    links.close();
    homes.close();
    executor.shutdownNow();
  }

  private boolean isBusy() {
    return callers.connectionCount() > 0 || !homes.served().isEmpty();
  }

  private void receive(VmId sender, PeerMessage.Fleet message) {
    if (message.channel() != FleetChannel.HOMES) {
      Logger.warn("{} sent a message on unknown channel {}", sender, message.channel());
      return;
    }
    try {
      homes.received(sender, HomeMessageCodec.decode(message.body()));
    } catch (PeerProtocolException malformed) {
      Logger.warn("{} sent a malformed message: {}", sender, malformed.getMessage());
    }
  }
}

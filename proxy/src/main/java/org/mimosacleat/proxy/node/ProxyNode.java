package org.mimosacleat.proxy.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Clock;
import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.Collectors;
import org.mimosacleat.core.time.MonotonicClock;
import org.mimosacleat.proxy.caller.CallerListener;
import org.mimosacleat.proxy.dispatch.Dispatcher;
import org.mimosacleat.proxy.home.HomeFactory;
import org.mimosacleat.proxy.home.Homes;
import org.mimosacleat.proxy.peer.PeerLinks;
import org.mimosacleat.proxy.peer.PeerListener;
import org.mimosacleat.proxy.settings.GroupSettings;
import org.mimosacleat.proxy.settings.ProxySettings;
import org.mimosacleat.wire.peer.PeerAuthenticator;
import org.tinylog.Logger;

/**
 * One proxy.
 *
 * <pre>{@code
 * try (ProxyNode node = ProxyNode.start(settings)) {
 *   node.callerAddress();
 * }
 * }</pre>
 */
public final class ProxyNode implements AutoCloseable {
  private static final Duration PEER_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration DRAIN_STEP = Duration.ofMillis(20);

  private final ExecutorService executor;
  private final Homes homes;
  private final PeerLinks links;
  private final PeerListener peers;
  private final CallerListener callers;
  private final Clock clock;

  private ProxyNode(
      ExecutorService executor,
      Homes homes,
      PeerLinks links,
      PeerListener peers,
      CallerListener callers,
      Clock clock) {
    this.executor = executor;
    this.homes = homes;
    this.links = links;
    this.peers = peers;
    this.callers = callers;
    this.clock = clock;
  }

  /**
   * Starts a proxy.
   *
   * @throws IOException if an address cannot be bound
   */
  public static ProxyNode start(ProxySettings settings) throws IOException {
    ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    Clock clock = new MonotonicClock();
    SecureRandom random = new SecureRandom();
    Homes homes =
        new HomeFactory(
                clock,
                java.util.random.RandomGenerator.getDefault(),
                settings.self().zone(),
                settings.limits(),
                settings.monitor(),
                executor,
                (endpoint, reason) -> Logger.debug("poll of {} failed: {}", endpoint, reason))
            .start(settings.groups());
    PeerAuthenticator authenticator =
        new PeerAuthenticator(settings.self().id(), settings.peerKey().value(), random);
    int messageBytes = settings.limits().answerBytes() + settings.limits().frameBytes();
    StaticFleet fleet = new StaticFleet(settings.self(), settings.peers());
    PeerLinks links = new PeerLinks(fleet, authenticator, executor, PEER_TIMEOUT, messageBytes);
    PeerListener peers =
        new PeerListener(
            settings.listen().peers(),
            authenticator,
            homes,
            (sender, message) -> Logger.debug("fleet message of {}", sender),
            executor,
            PEER_TIMEOUT,
            messageBytes);
    CallerListener callers =
        new CallerListener(
            settings.listen().callers(),
            new Dispatcher(settings.self().id(), fleet, homes, links),
            settings.limits(),
            settings.groups().stream().map(GroupSettings::id).collect(Collectors.toSet()),
            executor,
            random);
    peers.start();
    callers.start();
    Logger.info("started; clients at {}, peers at {}", callers.address(), peers.address());
    return new ProxyNode(executor, homes, links, peers, callers, clock);
  }

  /** Returns where clients connect. */
  public InetSocketAddress callerAddress() {
    return callers.address();
  }

  /** Returns where other proxies connect. */
  public InetSocketAddress peerAddress() {
    return peers.address();
  }

  /**
   * Stops gracefully: no new clients, work in flight is finished, then the rest is closed.
   *
   * @param limit after which connections with work in flight are cut off
   * @return whether nothing was cut off
   */
  public boolean drain(Duration limit) throws InterruptedException {
    java.time.Instant end = clock.instant().plus(limit);
    callers.stopAccepting();
    callers.stopIdle();
    while (callers.connectionCount() > 0 && clock.instant().isBefore(end)) {
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
}

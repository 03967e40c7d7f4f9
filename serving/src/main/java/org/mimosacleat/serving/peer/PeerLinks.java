package org.mimosacleat.serving.peer;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.ReentrantLock;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.time.Sleeper;
import org.mimosacleat.serving.feed.FeedListener;
import org.mimosacleat.serving.feed.FeedSources;
import org.mimosacleat.serving.promotion.PeerStops;
import org.mimosacleat.serving.promotion.RecordedPrimary;
import org.mimosacleat.serving.promotion.StopRecord;
import org.mimosacleat.serving.relay.Gateway;
import org.mimosacleat.serving.relay.Relay;
import org.mimosacleat.serving.relay.RelayRequest;
import org.mimosacleat.serving.relay.RelayResult;
import org.tinylog.Logger;

/**
 * The connections to the gateways of this proxy's zone. A connection is opened by the first request
 * that needs it. One that was lost is opened again in the background, so that no request waits for
 * a proxy that is gone.
 */
public final class PeerLinks implements Relay, PeerStops, FeedSources {
  /** How long no proxy must be reachable until this one uses its own connections. */
  private static final Duration ISOLATION_TIMEOUT = Duration.ofMillis(1_000);

  private static final Duration STOP_TIMEOUT = Duration.ofMillis(1_500);
  private static final Duration RECONNECT_INTERVAL = Duration.ofMillis(250);

  private final FleetMembers members;
  private final GatewayPlacement placement;
  private final ExecutorService executor;
  private final InstantSource clock;
  private final Sleeper sleeper;
  private final AtomicReference<Instant> lastConnectedAt;
  private final Map<VmId, Peer> peers = new ConcurrentHashMap<>();

  /** Creates an instance without open connections. */
  public PeerLinks(
      FleetMembers members,
      GatewayPlacement placement,
      ExecutorService executor,
      InstantSource clock,
      Sleeper sleeper) {
    this.members = members;
    this.placement = placement;
    this.executor = executor;
    this.clock = clock;
    this.sleeper = sleeper;
    this.lastConnectedAt = new AtomicReference<>(clock.instant());
  }

  @Override
  public List<Gateway> gatewaysOf(GroupId group) {
    List<Gateway> gateways = new ArrayList<>();
    for (VmId vm : placement.gatewaysFor(group)) {
      members.find(vm).ifPresent(member -> gateways.add(new LinkedGateway(member)));
    }
    return gateways;
  }

  @Override
  public boolean isIsolated() {
    Duration since = Duration.between(lastConnectedAt.get(), clock.instant());
    return since.compareTo(ISOLATION_TIMEOUT) > 0
        && peers.values().stream().noneMatch(Peer::takesWork);
  }

  @Override
  public Optional<StopRecord> requestStop(VmId proxy, RecordedPrimary claim) {
    Instant deadline = clock.instant().plus(STOP_TIMEOUT);
    return members
        .find(proxy)
        .flatMap(this::link)
        .flatMap(link -> link.requestStop(claim, deadline));
  }

  @Override
  public List<VmId> candidates() {
    return placement.feedSources();
  }

  @Override
  public boolean follow(VmId source, FeedListener listener) {
    return members
        .find(source)
        .flatMap(this::link)
        .filter(link -> link.follow(listener))
        .isPresent();
  }

  /** Returns the open connection to a proxy, or opens one unless the last try has failed. */
  private Optional<PeerLink> link(FleetMember member) {
    Peer peer = peers.computeIfAbsent(member.vm(), _ -> new Peer());
    PeerLink known = peer.link;
    if (known != null && known.takesWork()) {
      return Optional.of(known);
    }
    if (peer.reconnecting) {
      return Optional.empty();
    }
    peer.lock.lock();
    try {
      if (peer.takesWork()) {
        return Optional.of(peer.link);
      }
      if (peer.reconnecting) {
        return Optional.empty();
      }
      if (peer.link == null) {
        return connect(member, peer);
      }
      reconnectInBackground(member, peer);
      return Optional.empty();
    } finally {
      peer.lock.unlock();
    }
  }

  private Optional<PeerLink> connect(FleetMember member, Peer peer) {
    try {
      peer.link = connectTo(member);
      return Optional.of(peer.link);
    } catch (IOException unreachable) {
      Logger.info(
          "proxy {} at {} is unreachable: {}",
          member.vm(),
          member.address(),
          unreachable.getMessage());
      reconnectInBackground(member, peer);
      return Optional.empty();
    }
  }

  private PeerLink connectTo(FleetMember member) throws IOException {
    PeerLink connected = PeerLink.connect(members.self().vm(), member, executor, clock);
    lastConnectedAt.set(clock.instant());
    return connected;
  }

  private void reconnectInBackground(FleetMember member, Peer peer) {
    peer.reconnecting = true;
    executor.execute(() -> reconnect(member.vm(), peer));
  }

  private void reconnect(VmId vm, Peer peer) {
    while (!Thread.currentThread().isInterrupted()) {
      Optional<FleetMember> member = members.find(vm);
      if (member.isEmpty()) {
        peers.remove(vm, peer);
        return;
      }
      try {
        peer.link = connectTo(member.get());
        peer.reconnecting = false;
        Logger.info("connected to proxy {} again", vm);
        return;
      } catch (IOException unreachable) {
        sleeper.sleep(RECONNECT_INTERVAL);
      }
    }
  }

  /** The connection to one proxy, or the tries to open it. */
  private static final class Peer {
    private final ReentrantLock lock = new ReentrantLock();
    private volatile PeerLink link;
    private volatile boolean reconnecting;

    private boolean takesWork() {
      PeerLink current = link;
      return current != null && current.takesWork();
    }
  }

  /** A gateway whose connection is opened by the first request. */
  private final class LinkedGateway implements Gateway {
    private final FleetMember member;

    LinkedGateway(FleetMember member) {
      this.member = member;
    }

    @Override
    public RelayResult execute(RelayRequest request, Instant deadline) {
      return link(member)
          .map(link -> link.execute(request, deadline))
          .orElseGet(() -> new RelayResult.NotRun("proxy " + member.vm() + " is unreachable"));
    }

    @Override
    public void send(RelayRequest request) {
      Peer peer = peers.get(member.vm());
      if (peer != null && peer.link != null && peer.link.isOpen()) {
        peer.link.send(request);
      }
    }
  }
}

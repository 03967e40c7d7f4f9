package org.mimosacleat.serving.peer;

import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import org.mimosacleat.core.admission.DemandReport;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.time.Sleeper;
import org.mimosacleat.serving.feed.FeedListener;
import org.mimosacleat.serving.feed.FeedSources;
import org.mimosacleat.serving.limits.LimitAnswer;
import org.mimosacleat.serving.limits.LimitPeers;
import org.mimosacleat.serving.promotion.LeaseRenewal;
import org.mimosacleat.serving.promotion.PeerStops;
import org.mimosacleat.serving.promotion.RecordFailure;
import org.mimosacleat.serving.promotion.RecordedPrimary;
import org.mimosacleat.serving.promotion.StopRecord;
import org.mimosacleat.serving.relay.Gateway;
import org.mimosacleat.serving.relay.GatewayConnection;
import org.mimosacleat.serving.relay.GatewayOrder;
import org.mimosacleat.serving.relay.Relay;
import org.mimosacleat.serving.renewal.RenewalPeers;
import org.mimosacleat.serving.version.StoreVersion;
import org.tinylog.Logger;

/**
 * The connections to other proxies. They are opened in the background, and again when they are
 * lost, so that no request waits for a proxy that is gone.
 */
public final class PeerLinks implements Relay, PeerStops, FeedSources, LimitPeers, RenewalPeers {
  /**
   * How long no gateway of the zone must be reachable until those of other zones are tried, or the
   * home of a team until the next in order is: shorter than a statement waits, longer than a proxy
   * of a fleet that starts is behind the others.
   */
  private static final Duration DISTANT_GATEWAY_DELAY = Duration.ofMillis(400);

  /** How long no proxy must be reachable until this one uses its own connections. */
  private static final Duration ISOLATION_TIMEOUT = Duration.ofMillis(1_000);

  private static final Duration STOP_TIMEOUT = Duration.ofMillis(1_500);

  /** Short at first: the proxies of a fleet that starts come within a few hundred milliseconds. */
  private static final Duration MIN_RECONNECT_INTERVAL = Duration.ofMillis(50);

  /** Leaves a proxy on a quarter of a core most of its time for statements. */
  private static final Duration CONNECT_AHEAD_INTERVAL = Duration.ofMillis(20);

  private static final Duration MAX_RECONNECT_INTERVAL = Duration.ofMillis(250);

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
  public GatewayOrder gatewaysOf(GroupId group, Optional<TeamId> team) {
    return team.map(known -> gatewaysOfTeam(group, known)).orElseGet(() -> gatewaysOf(group));
  }

  private GatewayOrder gatewaysOf(GroupId group) {
    List<VmId> near = placement.nearGatewaysFor(group);
    List<VmId> tried =
        near.isEmpty() || haveBeenUnreachable(near) ? placement.gatewaysFor(group) : near;
    List<Gateway> gateways = gatewaysAt(tried);
    return new GatewayOrder(gateways, gateways.isEmpty());
  }

  private GatewayOrder gatewaysOfTeam(GroupId group, TeamId team) {
    HomeOrder order =
        HomeOrder.of(placement.homesOf(group, team), members.self().vm(), this::isSkipped);
    boolean homeTakesWork = order.candidates().stream().limit(1).allMatch(this::takesWork);
    if (!homeTakesWork) {
      // The links to the others are open, or known to be unreachable, once the home is skipped.
      order.candidates().forEach(vm -> members.find(vm).ifPresent(this::link));
    }
    return new GatewayOrder(gatewaysAt(order.tried()), order.runsHere(), order.runsRejected());
  }

  /** Returns whether the proxies that are ranked after this one may run its statements. */
  private boolean isSkipped(VmId vm) {
    Peer peer = peerOf(vm);
    return peer.isLeaving() || peer.hasBeenUnreachableAt(clock.instant());
  }

  private boolean takesWork(VmId vm) {
    return peerOf(vm).takesWork();
  }

  private List<Gateway> gatewaysAt(List<VmId> vms) {
    List<Gateway> gateways = new ArrayList<>();
    for (VmId vm : vms) {
      members.find(vm).ifPresent(member -> gateways.add(() -> connectionTo(member)));
    }
    return gateways;
  }

  /** Returns whether none of these proxies could be reached for some time. */
  private boolean haveBeenUnreachable(List<VmId> vms) {
    return vms.stream().allMatch(vm -> peerOf(vm).hasBeenUnreachableAt(clock.instant()));
  }

  private Peer peerOf(VmId vm) {
    return peers.computeIfAbsent(vm, _ -> new Peer(clock.instant()));
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
  public Optional<LimitAnswer> report(VmId to, DemandReport report, Duration timeout) {
    Instant deadline = clock.instant().plus(timeout);
    return members
        .find(to)
        .flatMap(this::link)
        .flatMap(link -> link.reportDemand(report, deadline));
  }

  @Override
  public List<VmId> candidates() {
    return placement.feedSources();
  }

  @Override
  public boolean follow(VmId source, FeedListener listener, Optional<StoreVersion> known) {
    return members
        .find(source)
        .flatMap(this::link)
        .filter(link -> link.follow(listener, known))
        .isPresent();
  }

  @Override
  public List<VmId> distantCandidates() {
    return placement.distantFeedSources();
  }

  @Override
  public boolean askContact(VmId source, long nonce) {
    return members
        .find(source)
        .flatMap(this::link)
        .filter(link -> link.askContact(nonce))
        .isPresent();
  }

  @Override
  public Either<RecordFailure, StoreVersion> requestRenewal(
      VmId publisher, LeaseRenewal renewal, Instant deadline) {
    return members
        .find(publisher)
        .flatMap(this::link)
        .map(link -> link.requestRenewal(renewal, deadline))
        .orElse(Either.left(RecordFailure.NOT_DONE));
  }

  /**
   * Opens the connections to the gateways of this zone, so that no request has to wait for it.
   * Those to the homes of teams are opened by {@link #connectToHomes} or by the first statement.
   */
  public void connectAhead(Collection<GroupId> groups) {
    for (GroupId group : groups) {
      placement.nearGatewaysFor(group).forEach(vm -> members.find(vm).ifPresent(this::link));
    }
  }

  /**
   * Opens the connections to all gateways, any of which may be the home of a team; one after the
   * other, since each takes processor time at both ends. Blocks until all have been begun.
   */
  public void connectToHomes(Collection<GroupId> groups) {
    for (GroupId group : groups) {
      for (VmId vm : placement.gatewaysInAllZones(group)) {
        if (!vm.equals(members.self().vm()) && !peerOf(vm).takesWork()) {
          members.find(vm).ifPresent(this::link);
          sleeper.sleep(CONNECT_AHEAD_INTERVAL);
        }
      }
    }
  }

  private Optional<GatewayConnection> connectionTo(FleetMember member) {
    return link(member).map(Function.identity());
  }

  /** Returns the open connection to a proxy; if there is none, opens one in the background. */
  private Optional<PeerLink> link(FleetMember member) {
    Peer peer = peerOf(member.vm());
    PeerLink known = peer.link;
    if (known != null && known.takesWork()) {
      return Optional.of(known);
    }
    peer.reachability.lost(clock.instant());
    if (peer.connecting.compareAndSet(false, true)) {
      executor.execute(() -> connect(member.vm(), peer));
    }
    return Optional.empty();
  }

  private void connect(VmId vm, Peer peer) {
    boolean failed = false;
    Duration pause = MIN_RECONNECT_INTERVAL;
    while (!Thread.currentThread().isInterrupted()) {
      Optional<FleetMember> member = members.find(vm);
      if (member.isEmpty()) {
        peers.remove(vm, peer);
        return;
      }
      try {
        peer.link = connectTo(member.get());
        peer.reachability.reached();
        peer.connecting.set(false);
        Logger.info("connected to proxy {}{}", vm, failed ? " again" : "");
        return;
      } catch (IOException | RuntimeException unreachable) {
        if (!failed) {
          Logger.info("proxy {} is unreachable, retrying: {}", vm, unreachable.getMessage());
        }
        failed = true;
        sleeper.sleep(pause);
        pause = longer(pause);
      }
    }
  }

  private static Duration longer(Duration pause) {
    Duration doubled = pause.multipliedBy(2);
    return doubled.compareTo(MAX_RECONNECT_INTERVAL) < 0 ? doubled : MAX_RECONNECT_INTERVAL;
  }

  private PeerLink connectTo(FleetMember member) throws IOException {
    PeerLink connected = PeerLink.connect(members.self().vm(), member, executor, clock);
    lastConnectedAt.set(clock.instant());
    return connected;
  }

  /** The connection to one proxy, or the tries to open it. */
  private static final class Peer {
    private final AtomicBoolean connecting = new AtomicBoolean();
    private final Reachability reachability;
    private volatile PeerLink link;

    Peer(Instant now) {
      this.reachability = new Reachability(now);
    }

    private boolean hasBeenUnreachableAt(Instant now) {
      return reachability.hasBeenLostFor(DISTANT_GATEWAY_DELAY, now);
    }

    private boolean isLeaving() {
      PeerLink current = link;
      return current != null && current.isLeaving();
    }

    private boolean takesWork() {
      PeerLink current = link;
      return current != null && current.takesWork();
    }
  }
}

package org.mimosacleat.lab.measure.consistency;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.mimosacleat.core.group.EndpointSnapshot;
import org.mimosacleat.core.group.EndpointState;
import org.mimosacleat.core.group.GroupSnapshot;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.SessionId;
import org.mimosacleat.core.position.LogPosition;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.core.routing.Freshness;
import org.mimosacleat.core.routing.FreshnessRouter;
import org.mimosacleat.core.routing.GroupRoutingState;
import org.mimosacleat.core.routing.PrimaryPositionHistory;
import org.mimosacleat.core.routing.RouteDecision;
import org.mimosacleat.core.routing.RouteRequest;
import org.mimosacleat.core.routing.Router;
import org.mimosacleat.core.routing.RoutingSettings;
import org.mimosacleat.core.session.SessionPositionTable;
import org.mimosacleat.core.session.SessionPositions;
import org.mimosacleat.core.statement.StatementKind;
import org.mimosacleat.lab.measure.Deployment;
import org.mimosacleat.lab.measure.EventQueue;

/** One run of reads and writes on one group, by the router over event-driven latencies. */
final class ReadRun {
  static final Duration LENGTH = Duration.ofSeconds(120);

  private static final Duration AGE = Duration.ofMillis(200);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(100);
  private static final Duration POLL_SPACING = Duration.ofMillis(2);
  private static final Duration MEAN_BETWEEN_REQUESTS = Duration.ofMillis(2);
  private static final Duration WITHIN_ZONE = Duration.ofNanos(100_000);
  private static final double WRITE_SHARE = 0.2;
  private static final double FOLLOWED_SHARE = 0.3;
  private static final double FOLLOW_SECONDS = 0.050;
  private static final int SESSIONS = 1_000;
  private static final int SLOTS = 16_384;
  private static final int REPLICAS = 2;

  private final EventQueue queue = new EventQueue();
  private final Random random;
  private final Deployment deployment;
  private final RoutingSettings settings = RoutingSettings.DEFAULT;
  private final Router router;
  private final SessionPositions sessions = new SessionPositionTable(SLOTS);
  private final List<Double> commits = new ArrayList<>();
  private final long[] ownWrites = new long[SESSIONS];
  private final ReplayLag[] lags = new ReplayLag[REPLICAS];
  private final EndpointSnapshot[] views = new EndpointSnapshot[REPLICAS];
  private final boolean[] polling = new boolean[REPLICAS];
  private final ReadShares ownReads = new ReadShares();
  private final ReadShares agedReads = new ReadShares();
  private final List<Long> acknowledgedBy = new ArrayList<>();
  private final List<Double> acknowledgedAt = new ArrayList<>();
  private PrimaryPositionHistory history = PrimaryPositionHistory.empty();
  private long polls;

  ReadRun(Deployment deployment, double lagFactor, long seed) {
    this.deployment = deployment;
    this.random = new Random(seed);
    this.router =
        new FreshnessRouter(
            queue.clock(),
            new Random(seed + 1),
            endpoint -> Duration.ZERO,
            deployment.zones().get(1),
            settings);
    sessions.setFloor(at(0));
    for (int replica = 0; replica < REPLICAS; replica++) {
      lags[replica] = new ReplayLag(random, LENGTH, lagFactor);
      views[replica] = view(replica, 0, queue.clock().instant());
    }
  }

  void run() {
    for (int replica = 0; replica < REPLICAS; replica++) {
      pollEvery(replica);
    }
    nextRequest();
    queue.runUntil(LENGTH);
  }

  ReadShares ownReads() {
    return ownReads;
  }

  ReadShares agedReads() {
    return agedReads;
  }

  double pollsPerSecond() {
    return polls / (double) LENGTH.toSeconds();
  }

  private void nextRequest() {
    double between = -MEAN_BETWEEN_REQUESTS.toNanos() * Math.log(1 - random.nextDouble());
    queue.after(
        Duration.ofNanos((long) between),
        () -> {
          int session = random.nextInt(SESSIONS);
          if (random.nextDouble() < WRITE_SHARE) {
            write(session);
          } else {
            read(session, random.nextBoolean());
          }
          nextRequest();
        });
  }

  /** The primary is in another zone; the home waits for a replica before it acknowledges. */
  private void write(int session) {
    Instant askedAt = queue.clock().instant();
    queue.after(
        oneWay(0),
        () -> {
          commits.add(seconds());
          long log = commits.size();
          Duration added = oneWay(0).plus(oneWay(1)).plus(oneWay(1));
          queue.after(added, () -> acknowledged(session, log, askedAt));
        });
  }

  private void acknowledged(int session, long log, Instant askedAt) {
    sessions.recordAcknowledgedWrite(new SessionId("session-" + session), at(log));
    history = history.with(askedAt, at(log));
    ownWrites[session] = Math.max(ownWrites[session], log);
    acknowledgedBy.add(log);
    acknowledgedAt.add(seconds());
    if (random.nextDouble() < FOLLOWED_SHARE) {
      queue.after(
          Duration.ofNanos((long) (random.nextDouble() * FOLLOW_SECONDS * 1e9)),
          () -> read(session, true));
    }
  }

  private void read(int session, boolean own) {
    Optional<Position> required = sessions.required(new SessionId("session-" + session));
    Freshness freshness =
        own
            ? new Freshness.ReadYourWrites(required)
            : new Freshness.BoundedStaleness(AGE, required);
    Instant now = queue.clock().instant();
    RouteRequest request = new RouteRequest(StatementKind.READ, freshness, now, now.plusSeconds(1));
    long needed = own ? ownWrites[session] : Math.max(ownWrites[session], writtenBefore());
    ReadShares shares = own ? ownReads : agedReads;
    double later = seconds() + settings.maximumCatchUpWait().toNanos() / 1e9;
    shares.arrived(
        shown(random.nextInt(REPLICAS), seconds()) >= needed,
        mostShown(seconds()) >= needed,
        mostShown(later) >= needed);
    route(request, needed, shares);
  }

  private void route(RouteRequest request, long needed, ReadShares shares) {
    double waited = Duration.between(request.arrivedAt(), queue.clock().instant()).toNanos() / 1e9;
    switch (router.route(request, knowledge())) {
      case RouteDecision.ToReplica(EndpointId endpoint) -> {
        boolean stale = shown(index(endpoint), seconds()) < needed;
        shares.served(true, stale, waited);
      }
      case RouteDecision.AwaitReplica(EndpointId endpoint, Position position, Instant until) -> {
        poll(index(endpoint));
        Duration left = Duration.between(queue.clock().instant(), until);
        Duration step = left.compareTo(POLL_SPACING) < 0 ? left : POLL_SPACING;
        queue.after(step, () -> route(request, needed, shares));
      }
      default -> shares.served(false, false, waited);
    }
  }

  private GroupRoutingState knowledge() {
    Position latest = at(commits.size());
    EndpointId primary = new EndpointId("primary");
    EndpointSnapshot primaryView =
        new EndpointSnapshot(
            primary,
            deployment.zones().getFirst(),
            EndpointState.LIVE,
            latest,
            latest,
            queue.clock().instant());
    GroupSnapshot snapshot =
        new GroupSnapshot(
            new GroupId("lending"),
            Term.FIRST,
            Optional.of(primary),
            List.of(primaryView, views[0], views[1]));
    return new GroupRoutingState(snapshot, history, sessions.highest(), true);
  }

  private void pollEvery(int replica) {
    poll(replica);
    queue.after(POLL_INTERVAL, () -> pollEvery(replica));
  }

  private void poll(int replica) {
    if (polling[replica]) {
      return;
    }
    polling[replica] = true;
    polls++;
    Instant askedAt = queue.clock().instant();
    queue.after(
        oneWay(replica + 1),
        () -> {
          EndpointSnapshot view = view(replica, shown(replica, seconds()), askedAt);
          queue.after(
              oneWay(replica + 1),
              () -> {
                views[replica] = view;
                polling[replica] = false;
              });
        });
  }

  private EndpointSnapshot view(int replica, long log, Instant askedAt) {
    AvailabilityZone zone = deployment.zones().get(replica + 1);
    return new EndpointSnapshot(
        new EndpointId("replica-" + replica), zone, EndpointState.LIVE, at(log), at(log), askedAt);
  }

  /** Returns how much of the log a replica shows at a moment, from the commits known so far. */
  private long shown(int replica, double moment) {
    return countUpTo(commits, lags[replica].shownAt(moment));
  }

  private long mostShown(double moment) {
    return Math.max(shown(0, moment), shown(1, moment));
  }

  /** Returns the log that was acknowledged at least the accepted age ago. */
  private long writtenBefore() {
    int count = countUpTo(acknowledgedAt, seconds() - AGE.toNanos() / 1e9);
    long highest = 0;
    for (int index = Math.max(0, count - SESSIONS); index < count; index++) {
      highest = Math.max(highest, acknowledgedBy.get(index));
    }
    return highest;
  }

  private static int countUpTo(List<Double> ascending, double moment) {
    int found = java.util.Collections.binarySearch(ascending, moment);
    return found >= 0 ? found + 1 : -found - 1;
  }

  /** The home is in the zone of the first replica. */
  private Duration oneWay(int endpoint) {
    Duration base = endpoint == 1 ? WITHIN_ZONE : deployment.zoneLatency();
    return base.plusNanos((long) (-0.2 * base.toNanos() * Math.log(1 - random.nextDouble())));
  }

  private double seconds() {
    return queue.now().toNanos() / 1e9;
  }

  private static int index(EndpointId endpoint) {
    return Integer.parseInt(endpoint.value().substring("replica-".length()));
  }

  private static Position at(long log) {
    return new Position(Term.FIRST, new LogPosition(log));
  }
}

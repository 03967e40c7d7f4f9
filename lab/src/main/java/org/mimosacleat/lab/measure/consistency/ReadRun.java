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

/** Simulates reads and writes on one group with the production router and random latencies. */
final class ReadRun {
  static final Duration DURATION = Duration.ofSeconds(120);

  private static final Duration MAX_STALENESS = Duration.ofMillis(200);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(100);
  private static final Duration CATCH_UP_POLL_INTERVAL = Duration.ofMillis(2);
  private static final Duration MEAN_REQUEST_INTERVAL = Duration.ofMillis(2);
  private static final Duration WITHIN_ZONE = Duration.ofNanos(100_000);
  private static final double WRITE_SHARE = 0.2;
  private static final double FOLLOW_UP_READ_SHARE = 0.3;
  private static final double MAX_FOLLOW_UP_DELAY_SECONDS = 0.050;
  private static final int SESSIONS = 1_000;
  private static final int POSITION_TABLE_SLOTS = 16_384;
  private static final int REPLICAS = 2;

  private final EventQueue queue = new EventQueue();
  private final Random random;
  private final Deployment deployment;
  private final RoutingSettings settings = RoutingSettings.DEFAULT;
  private final Router router;
  private final SessionPositions sessions = new SessionPositionTable(POSITION_TABLE_SLOTS);
  private final List<Double> commitTimes = new ArrayList<>();
  private final long[] latestOwnWrites = new long[SESSIONS];
  private final ReplayLag[] lags = new ReplayLag[REPLICAS];
  private final EndpointSnapshot[] replicaSnapshots = new EndpointSnapshot[REPLICAS];
  private final boolean[] polling = new boolean[REPLICAS];
  private final ReadShares readYourWritesShares = new ReadShares();
  private final ReadShares boundedStalenessShares = new ReadShares();
  private final List<Long> acknowledgedLogs = new ArrayList<>();
  private final List<Double> acknowledgementTimes = new ArrayList<>();
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
    sessions.setFloor(position(0));
    for (int replica = 0; replica < REPLICAS; replica++) {
      lags[replica] = new ReplayLag(random, DURATION, lagFactor);
      replicaSnapshots[replica] = replicaSnapshot(replica, 0, queue.clock().instant());
    }
  }

  void run() {
    for (int replica = 0; replica < REPLICAS; replica++) {
      pollPeriodically(replica);
    }
    nextRequest();
    queue.runUntil(DURATION);
  }

  ReadShares readYourWritesShares() {
    return readYourWritesShares;
  }

  ReadShares boundedStalenessShares() {
    return boundedStalenessShares;
  }

  double pollsPerSecond() {
    return polls / (double) DURATION.toSeconds();
  }

  private void nextRequest() {
    double nanoseconds = -MEAN_REQUEST_INTERVAL.toNanos() * Math.log(1 - random.nextDouble());
    queue.scheduleAfter(
        Duration.ofNanos((long) nanoseconds),
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

  /** Writes to the primary in another zone; acknowledged once a replica has the write. */
  private void write(int session) {
    Instant askedAt = queue.clock().instant();
    queue.scheduleAfter(
        oneWay(0),
        () -> {
          commitTimes.add(elapsedSeconds());
          long log = commitTimes.size();
          Duration delay = oneWay(0).plus(oneWay(1)).plus(oneWay(1));
          queue.scheduleAfter(delay, () -> recordAcknowledgement(session, log, askedAt));
        });
  }

  private void recordAcknowledgement(int session, long log, Instant askedAt) {
    sessions.recordAcknowledgedWrite(new SessionId("session-" + session), position(log));
    history = history.with(askedAt, position(log));
    latestOwnWrites[session] = Math.max(latestOwnWrites[session], log);
    acknowledgedLogs.add(log);
    acknowledgementTimes.add(elapsedSeconds());
    if (random.nextDouble() < FOLLOW_UP_READ_SHARE) {
      queue.scheduleAfter(
          Duration.ofNanos((long) (random.nextDouble() * MAX_FOLLOW_UP_DELAY_SECONDS * 1e9)),
          () -> read(session, true));
    }
  }

  private void read(int session, boolean readYourWrites) {
    Optional<Position> required = sessions.required(new SessionId("session-" + session));
    Freshness freshness =
        readYourWrites
            ? new Freshness.ReadYourWrites(required)
            : new Freshness.BoundedStaleness(MAX_STALENESS, required);
    Instant now = queue.clock().instant();
    RouteRequest request = new RouteRequest(StatementKind.READ, freshness, now, now.plusSeconds(1));
    long requiredLog =
        readYourWrites
            ? latestOwnWrites[session]
            : Math.max(latestOwnWrites[session], requiredByStaleness());
    ReadShares shares = readYourWrites ? readYourWritesShares : boundedStalenessShares;
    double waitEnd = elapsedSeconds() + settings.maximumCatchUpWait().toNanos() / 1e9;
    shares.recordRead(
        replayed(random.nextInt(REPLICAS), elapsedSeconds()) >= requiredLog,
        maxReplayed(elapsedSeconds()) >= requiredLog,
        maxReplayed(waitEnd) >= requiredLog);
    route(request, requiredLog, shares);
  }

  private void route(RouteRequest request, long requiredLog, ReadShares shares) {
    double waited = Duration.between(request.arrivedAt(), queue.clock().instant()).toNanos() / 1e9;
    switch (router.route(request, routingState())) {
      case RouteDecision.ToReplica(EndpointId endpoint) -> {
        boolean stale = replayed(replicaIndex(endpoint), elapsedSeconds()) < requiredLog;
        shares.recordServed(true, stale, waited);
      }
      case RouteDecision.AwaitReplica(EndpointId endpoint, Position position, Instant until) -> {
        poll(replicaIndex(endpoint));
        Duration remaining = Duration.between(queue.clock().instant(), until);
        Duration step =
            remaining.compareTo(CATCH_UP_POLL_INTERVAL) < 0 ? remaining : CATCH_UP_POLL_INTERVAL;
        queue.scheduleAfter(step, () -> route(request, requiredLog, shares));
      }
      default -> shares.recordServed(false, false, waited);
    }
  }

  private GroupRoutingState routingState() {
    Position latest = position(commitTimes.size());
    EndpointId primary = new EndpointId("primary");
    EndpointSnapshot primarySnapshot =
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
            List.of(primarySnapshot, replicaSnapshots[0], replicaSnapshots[1]));
    return new GroupRoutingState(snapshot, history, sessions.highest(), true);
  }

  private void pollPeriodically(int replica) {
    poll(replica);
    queue.scheduleAfter(POLL_INTERVAL, () -> pollPeriodically(replica));
  }

  private void poll(int replica) {
    if (polling[replica]) {
      return;
    }
    polling[replica] = true;
    polls++;
    Instant askedAt = queue.clock().instant();
    queue.scheduleAfter(
        oneWay(replica + 1),
        () -> {
          EndpointSnapshot snapshot =
              replicaSnapshot(replica, replayed(replica, elapsedSeconds()), askedAt);
          queue.scheduleAfter(
              oneWay(replica + 1),
              () -> {
                replicaSnapshots[replica] = snapshot;
                polling[replica] = false;
              });
        });
  }

  private EndpointSnapshot replicaSnapshot(int replica, long log, Instant askedAt) {
    AvailabilityZone zone = deployment.zones().get(replica + 1);
    return new EndpointSnapshot(
        new EndpointId("replica-" + replica),
        zone,
        EndpointState.LIVE,
        position(log),
        position(log),
        askedAt);
  }

  /**
   * Returns the log position that a replica has replayed at a time, based on the commits so far.
   */
  private long replayed(int replica, double time) {
    return countUpTo(commitTimes, lags[replica].replayedAt(time));
  }

  private long maxReplayed(double time) {
    return Math.max(replayed(0, time), replayed(1, time));
  }

  /** Returns the highest log position acknowledged at least {@link #MAX_STALENESS} ago. */
  private long requiredByStaleness() {
    int count = countUpTo(acknowledgementTimes, elapsedSeconds() - MAX_STALENESS.toNanos() / 1e9);
    long highest = 0;
    for (int index = Math.max(0, count - SESSIONS); index < count; index++) {
      highest = Math.max(highest, acknowledgedLogs.get(index));
    }
    return highest;
  }

  private static int countUpTo(List<Double> ascending, double time) {
    int found = java.util.Collections.binarySearch(ascending, time);
    return found >= 0 ? found + 1 : -found - 1;
  }

  /** Returns a one-way latency from the home, which is in the zone of the first replica. */
  private Duration oneWay(int endpoint) {
    Duration base = endpoint == 1 ? WITHIN_ZONE : deployment.zoneLatency();
    return base.plusNanos((long) (-0.2 * base.toNanos() * Math.log(1 - random.nextDouble())));
  }

  private double elapsedSeconds() {
    return queue.elapsed().toNanos() / 1e9;
  }

  private static int replicaIndex(EndpointId endpoint) {
    return Integer.parseInt(endpoint.value().substring("replica-".length()));
  }

  private static Position position(long log) {
    return new Position(Term.FIRST, new LogPosition(log));
  }
}

package org.mimosacleat.core.routing;

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
import org.mimosacleat.core.session.SessionPositionTable;
import org.mimosacleat.core.session.SessionPositions;
import org.mimosacleat.core.statement.StatementKind;
import org.mimosacleat.core.time.PausedClock;

/**
 * Simulates random writes, replica lag, polls and promotions, and counts stale reads of a router.
 */
final class ReadOracle {
  private static final int STEPS = 400;
  private static final int SESSIONS = 5;
  private static final int REPLICAS = 2;
  private static final EndpointId PRIMARY = new EndpointId("primary");
  private static final AvailabilityZone ZONE = new AvailabilityZone("tamaki");

  private final Random random;
  private final PausedClock clock;
  private final Router router;
  private final SessionPositions sessions = new SessionPositionTable(4);
  private final long[] sessionLogPositions = new long[SESSIONS];
  private final List<Write> writes = new ArrayList<>();
  private final Position[] replicaPositions = new Position[REPLICAS];
  private final EndpointSnapshot[] polledReplicas = new EndpointSnapshot[REPLICAS];
  private Term term = Term.FIRST;
  private long termStartLog;
  private long primaryLog;
  private PrimaryPositionHistory history = PrimaryPositionHistory.empty();
  private int staleReads;
  private int replicaReads;

  ReadOracle(long seed, PausedClock clock, Router router) {
    this.random = new Random(seed);
    this.clock = clock;
    this.router = router;
    sessions.setFloor(new Position(term, LogPosition.START));
    for (int replica = 0; replica < REPLICAS; replica++) {
      replicaPositions[replica] = new Position(term, LogPosition.START);
      poll(replica);
    }
  }

  void run() {
    for (int step = 0; step < STEPS; step++) {
      clock.advance(Duration.ofMillis(random.nextInt(10)));
      switch (random.nextInt(8)) {
        case 0, 1 -> write(random.nextInt(SESSIONS));
        case 2 -> replay(random.nextInt(REPLICAS));
        case 3 -> poll(random.nextInt(REPLICAS));
        case 4 ->
            history =
                history.with(clock.instant(), new Position(term, new LogPosition(primaryLog)));
        case 5 -> maybePromote();
        default -> read(random.nextInt(SESSIONS));
      }
    }
  }

  int staleReads() {
    return staleReads;
  }

  int replicaReads() {
    return replicaReads;
  }

  private void write(int session) {
    primaryLog += 10;
    Position commit = new Position(term, new LogPosition(primaryLog));
    sessions.recordAcknowledgedWrite(id(session), commit);
    sessionLogPositions[session] = primaryLog;
    writes.add(new Write(clock.instant(), primaryLog));
  }

  /** Replica 0 keeps log of the earlier term that is past the start of the new term. */
  private void maybePromote() {
    if (random.nextInt(4) > 0) {
      return;
    }
    termStartLog = primaryLog;
    term = term.next();
    replicaPositions[0] =
        new Position(replicaPositions[0].term(), new LogPosition(primaryLog + 1_000));
    history = PrimaryPositionHistory.empty();
    sessions.setFloor(new Position(term, new LogPosition(termStartLog)));
  }

  private void replay(int replica) {
    long reached = Math.min(replicaPositions[replica].log().bytes(), primaryLog);
    long next = reached + random.nextLong(primaryLog - reached + 1);
    replicaPositions[replica] =
        new Position(next >= termStartLog ? term : Term.FIRST, new LogPosition(next));
  }

  private void poll(int replica) {
    polledReplicas[replica] =
        new EndpointSnapshot(
            new EndpointId("replica-" + replica),
            ZONE,
            EndpointState.LIVE,
            replicaPositions[replica],
            replicaPositions[replica],
            clock.instant());
  }

  private void read(int session) {
    Duration age = Duration.ofMillis(random.nextInt(60));
    boolean ownWritesOnly = random.nextBoolean();
    Optional<Position> required = sessions.required(id(session));
    Freshness freshness =
        ownWritesOnly
            ? new Freshness.ReadYourWrites(required)
            : new Freshness.BoundedStaleness(age, required);
    RouteRequest request =
        new RouteRequest(
            StatementKind.READ, freshness, clock.instant(), clock.instant().plusSeconds(1));
    if (!(router.route(request, routingState())
        instanceof RouteDecision.ToReplica(EndpointId to))) {
      return;
    }
    replicaReads++;
    Instant horizon = clock.instant().minus(age);
    long requiredOthersLog =
        writes.stream()
            .filter(write -> !ownWritesOnly && write.at().isBefore(horizon))
            .mapToLong(Write::log)
            .max()
            .orElse(0);
    Position seen = replicaPositions[Integer.parseInt(to.value().substring("replica-".length()))];
    boolean outsideHistory = !seen.term().equals(term) && seen.log().bytes() > termStartLog;
    if (outsideHistory
        || seen.log().bytes() < Math.max(sessionLogPositions[session], requiredOthersLog)) {
      staleReads++;
    }
  }

  private GroupRoutingState routingState() {
    EndpointSnapshot primary =
        new EndpointSnapshot(
            PRIMARY,
            ZONE,
            EndpointState.LIVE,
            new Position(term, new LogPosition(primaryLog)),
            new Position(term, new LogPosition(primaryLog)),
            clock.instant());
    GroupSnapshot snapshot =
        new GroupSnapshot(
            new GroupId("lending"),
            term,
            Optional.of(PRIMARY),
            List.of(primary, polledReplicas[0], polledReplicas[1]));
    return new GroupRoutingState(snapshot, history, sessions.highest(), true);
  }

  private static SessionId id(int session) {
    return new SessionId("session-" + session);
  }

  private record Write(Instant at, long log) {}
}

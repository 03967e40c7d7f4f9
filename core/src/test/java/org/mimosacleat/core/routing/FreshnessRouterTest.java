package org.mimosacleat.core.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.group.EndpointSnapshot;
import org.mimosacleat.core.group.EndpointState;
import org.mimosacleat.core.group.GroupSnapshot;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.position.LogPosition;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.core.statement.StatementKind;
import org.mimosacleat.core.time.PausedClock;

class FreshnessRouterTest {
  private static final EndpointId PRIMARY = new EndpointId("primary");
  private static final EndpointId NEAR = new EndpointId("near");
  private static final EndpointId FAR = new EndpointId("far");

  private final PausedClock clock = new PausedClock();
  private final Map<EndpointId, Duration> waits = new HashMap<>();
  private final Router router = router(clock);

  @Test
  void readGoesToReplicaThatReplayedOwnWrites() {
    RouteDecision decision =
        router.route(readYourWrites(at(2, 100)), routingState(at(2, 100), at(2, 99)));

    assertEquals(new RouteDecision.ToReplica(NEAR), decision);
  }

  @Test
  void longerLogOfEarlierTermDoesNotProveFreshness() {
    RouteDecision decision =
        router.route(readYourWrites(at(1, 90)), routingState(at(1, 950), at(1, 950)));

    assertEquals(new RouteDecision.ToPrimary(PRIMARY), decision);
  }

  @Test
  void shorterLogOfLaterTermDoesNotProveFreshness() {
    RouteDecision decision =
        router.route(readYourWrites(at(1, 90)), routingState(at(2, 80), at(2, 80)));

    assertInstanceOf(RouteDecision.AwaitReplica.class, decision);
  }

  @Test
  void boundedStalenessUsesOnlySamplesWithinMaximumAge() {
    PrimaryPositionHistory history =
        PrimaryPositionHistory.empty()
            .with(clock.instant().minusMillis(100), at(2, 50))
            .with(clock.instant().minusMillis(40), at(2, 70));

    assertEquals(
        new RouteDecision.ToReplica(NEAR),
        router.route(
            withMaxStaleness(100), withHistory(routingState(at(2, 50), at(2, 10)), history)));
    assertInstanceOf(
        RouteDecision.AwaitReplica.class,
        router.route(
            withMaxStaleness(99), withHistory(routingState(at(2, 69), at(2, 10)), history)));
  }

  @Test
  void doesNotWaitForReplicaWithLargeLag() {
    PrimaryPositionHistory history =
        PrimaryPositionHistory.empty()
            .with(clock.instant().minusMillis(400), at(2, 60))
            .with(clock.instant().minusMillis(1), at(2, 100));

    RouteDecision decision =
        router.route(
            readYourWrites(at(2, 100)), withHistory(routingState(at(2, 50), at(2, 50)), history));

    assertEquals(new RouteDecision.ToPrimary(PRIMARY), decision);
  }

  @Test
  void readFallsBackToPrimaryAfterCatchUpWait() {
    RouteRequest request = readYourWrites(at(2, 100));
    clock.advance(RoutingSettings.DEFAULT.maximumCatchUpWait());

    assertEquals(
        new RouteDecision.ToPrimary(PRIMARY),
        router.route(request, routingState(at(2, 99), at(2, 99))));
  }

  @Test
  void requestIsRefusedWithoutLease() {
    GroupRoutingState state = routingState(at(2, 100), at(2, 100));
    GroupRoutingState withoutLease =
        new GroupRoutingState(state.snapshot(), state.history(), state.acknowledged(), false);

    RouteDecision.Refuse refused =
        assertInstanceOf(
            RouteDecision.Refuse.class, router.route(readYourWrites(at(2, 100)), withoutLease));
    assertEquals(ErrorKind.NOT_HOME, refused.failure().kind());
  }

  @Test
  void prefersOwnZoneThenLessLoadedReplicaThenPrimary() {
    assertEquals(
        new RouteDecision.ToReplica(NEAR),
        router.route(readYourWrites(at(2, 1)), routingState(at(2, 9), at(2, 9))));
    waits.put(NEAR, Duration.ofMillis(9));
    assertEquals(
        new RouteDecision.ToReplica(FAR),
        router.route(readYourWrites(at(2, 1)), routingState(at(2, 9), at(2, 9))));
    waits.put(NEAR, Duration.ofSeconds(1));
    waits.put(FAR, Duration.ofSeconds(1));
    assertEquals(
        new RouteDecision.ToPrimary(PRIMARY),
        router.route(readYourWrites(at(2, 1)), routingState(at(2, 9), at(2, 9))));
  }

  @Test
  void writeWaitsForPrimaryAndIsRefusedAtDeadline() {
    RouteRequest write =
        new RouteRequest(
            StatementKind.WRITE,
            new Freshness.Latest(),
            clock.instant(),
            clock.instant().plusSeconds(1));
    GroupRoutingState noPrimary = withoutPrimary(routingState(at(2, 9), at(2, 9)));

    assertEquals(new RouteDecision.AwaitPrimary(write.deadline()), router.route(write, noPrimary));
    clock.advance(Duration.ofSeconds(1));
    RouteDecision.Refuse refused =
        assertInstanceOf(RouteDecision.Refuse.class, router.route(write, noPrimary));
    assertEquals(ErrorKind.DEADLINE_BEFORE_START, refused.failure().kind());
  }

  @Test
  void boundedHistoryStillIncludesEarlierWrites() {
    PrimaryPositionHistory history = PrimaryPositionHistory.empty();
    Instant start = clock.instant();
    for (int second = 0; second < 5_000; second++) {
      history = history.with(start.plusSeconds(second), at(1, second));
    }

    assertTrue(history.size() <= PrimaryPositionHistory.MAXIMUM_SAMPLES);
    for (int second = 0; second < 5_000; second++) {
      assertTrue(
          history
                  .positionIncludingWritesBefore(start.plusSeconds(second))
                  .orElseThrow()
                  .log()
                  .bytes()
              >= second);
    }
  }

  @Property(seed = "4002", tries = 100)
  void noReadIsStale(@ForAll long seed) {
    PausedClock time = new PausedClock();
    ReadOracle oracle = new ReadOracle(seed, time, router(time));
    oracle.run();

    assertEquals(0, oracle.staleReads(), "seed " + seed);
    assertTrue(oracle.replicaReads() > 0, "seed " + seed);
  }

  @Test
  void oracleDetectsRoutersWithoutFreshnessProof() {
    PausedClock time = new PausedClock();
    ReadOracle anyReplica =
        new ReadOracle(1, time, new UnsafeRouter(router(time), UnsafeRouter.ANY_REPLICA));
    anyReplica.run();
    ReadOracle ignoringTerm =
        new ReadOracle(1, time, new UnsafeRouter(router(time), UnsafeRouter.IGNORES_TERM));
    ignoringTerm.run();

    assertTrue(anyReplica.staleReads() > 0);
    assertTrue(ignoringTerm.staleReads() > 0);
  }

  private Router router(PausedClock time) {
    return new FreshnessRouter(
        time,
        new Random(1),
        endpoint -> waits.getOrDefault(endpoint, Duration.ZERO),
        new AvailabilityZone("tamaki"),
        RoutingSettings.DEFAULT);
  }

  private RouteRequest readYourWrites(Position required) {
    return read(new Freshness.ReadYourWrites(Optional.of(required)));
  }

  private RouteRequest withMaxStaleness(long milliseconds) {
    return read(
        new Freshness.BoundedStaleness(
            Duration.ofMillis(milliseconds), Optional.of(Position.NONE)));
  }

  private RouteRequest read(Freshness freshness) {
    Instant now = clock.instant();
    return new RouteRequest(StatementKind.READ, freshness, now, now.plusSeconds(1));
  }

  private GroupRoutingState routingState(Position near, Position far) {
    GroupSnapshot snapshot =
        new GroupSnapshot(
            new GroupId("lending"),
            new Term(2),
            Optional.of(PRIMARY),
            List.of(
                endpointSnapshot(PRIMARY, "kirikiriroa", at(2, 1_000)),
                endpointSnapshot(NEAR, "tamaki", near),
                endpointSnapshot(FAR, "te-whanganui", far)));
    return new GroupRoutingState(
        snapshot, PrimaryPositionHistory.empty(), Optional.of(at(2, 1_000)), true);
  }

  private static GroupRoutingState withHistory(
      GroupRoutingState state, PrimaryPositionHistory history) {
    return new GroupRoutingState(
        state.snapshot(), history, state.acknowledged(), state.leaseHeld());
  }

  private static GroupRoutingState withoutPrimary(GroupRoutingState state) {
    GroupSnapshot snapshot = state.snapshot();
    return new GroupRoutingState(
        new GroupSnapshot(
            snapshot.group(), snapshot.term(), Optional.empty(), snapshot.endpoints()),
        state.history(),
        state.acknowledged(),
        state.leaseHeld());
  }

  private EndpointSnapshot endpointSnapshot(EndpointId id, String zone, Position position) {
    return new EndpointSnapshot(
        id, new AvailabilityZone(zone), EndpointState.LIVE, position, position, clock.instant());
  }

  private static Position at(long term, long log) {
    return new Position(new Term(term), new LogPosition(log));
  }
}

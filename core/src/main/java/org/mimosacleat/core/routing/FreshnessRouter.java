package org.mimosacleat.core.routing;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.group.EndpointSnapshot;
import org.mimosacleat.core.group.GroupSnapshot;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.position.LogPosition;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;

/**
 * Sends a read to a replica only if the replica's term and log position prove that it is fresh
 * enough.
 *
 * <p>While the home holds the lease, every acknowledged write of the group passes through it, so
 * the home knows which position a read requires. Without the lease nothing is sent. Of the replicas
 * that are fresh enough, the router draws two at random and chooses the less loaded one. If no
 * replica is fresh enough, the read waits for a replica that is expected to catch up within a short
 * time, or else goes to the primary. The router is stateless and is thread-safe if the random
 * generator is.
 */
public final class FreshnessRouter implements Router {
  private final InstantSource clock;
  private final RandomGenerator random;
  private final EndpointLoads loads;
  private final AvailabilityZone ownZone;
  private final RoutingSettings settings;

  /** Creates a router for a home in {@code ownZone}. */
  public FreshnessRouter(
      InstantSource clock,
      RandomGenerator random,
      EndpointLoads loads,
      AvailabilityZone ownZone,
      RoutingSettings settings) {
    this.clock = Checks.notNull("clock", clock);
    this.random = Checks.notNull("random generator", random);
    this.loads = Checks.notNull("endpoint loads", loads);
    this.ownZone = Checks.notNull("availability zone", ownZone);
    this.settings = Checks.notNull("routing settings", settings);
  }

  @Override
  public RouteDecision route(RouteRequest request, GroupRoutingState state) {
    if (!clock.instant().isBefore(request.deadline())) {
      return refuse(
          ErrorKind.DEADLINE_BEFORE_START,
          "the deadline passed before an endpoint was chosen; nothing was sent");
    }
    if (!state.leaseHeld()) {
      return refuse(
          ErrorKind.NOT_HOME, "this proxy does not hold the lease of the group; nothing was sent");
    }
    if (!request.isReplicaAllowed()) {
      return toPrimaryOrAwait(request, state.snapshot());
    }
    return requiredPosition(request, state)
        .map(position -> toFreshReplicaOrPrimary(request, state, position))
        .orElseGet(() -> toPrimaryOrAwait(request, state.snapshot()));
  }

  private RouteDecision toFreshReplicaOrPrimary(
      RouteRequest request, GroupRoutingState state, Position required) {
    GroupSnapshot snapshot = state.snapshot();
    if (required.term().isAfter(snapshot.term())) {
      return refuse(
          ErrorKind.NOT_HOME,
          "the required position is of a later term than the group snapshot; nothing was sent");
    }
    List<EndpointSnapshot> fresh =
        snapshot.replicas().stream()
            .filter(EndpointSnapshot::isLive)
            .filter(replica -> hasReplayed(replica, required, snapshot.term()))
            .toList();
    if (!fresh.isEmpty()) {
      return replicaUnlessOverloaded(lessLoadedOfTwo(fresh), snapshot);
    }
    return firstToCatchUp(state, required)
        .filter(candidate -> candidate.expectedAt().isBefore(catchUpDeadline(request)))
        .<RouteDecision>map(
            candidate ->
                new RouteDecision.AwaitReplica(
                    candidate.replica().id(), required, catchUpDeadline(request)))
        .orElseGet(() -> toPrimaryOrAwait(request, snapshot));
  }

  /**
   * Returns the position that a replica must have replayed, or empty if only the primary may serve.
   */
  private static Optional<Position> requiredPosition(
      RouteRequest request, GroupRoutingState state) {
    return switch (request.freshness()) {
      case Freshness.Latest() -> Optional.empty();
      case Freshness.ReadYourWrites(Optional<Position> required) -> required;
      case Freshness.BoundedStaleness(Duration age, Optional<Position> required) ->
          required.flatMap(
              own ->
                  state
                      .history()
                      .positionIncludingWritesBefore(request.arrivedAt().minus(age))
                      .or(state::acknowledged)
                      .map(others -> withLongerLog(own, others)));
    };
  }

  /**
   * Compares log positions and requires the replica to be in the current term. An acknowledged
   * write is part of the history of every later term at the same log position, but a replica in an
   * earlier term may hold log that is not part of the history.
   */
  private static boolean hasReplayed(EndpointSnapshot replica, Position required, Term term) {
    return replica.replayed().term().equals(term)
        && replica.replayed().log().compareTo(required.log()) >= 0;
  }

  private static Position withLongerLog(Position first, Position second) {
    LogPosition log = first.log().compareTo(second.log()) >= 0 ? first.log() : second.log();
    return new Position(Position.latest(first, second).term(), log);
  }

  private EndpointSnapshot lessLoadedOfTwo(List<EndpointSnapshot> candidates) {
    if (candidates.size() == 1) {
      return candidates.getFirst();
    }
    int first = random.nextInt(candidates.size());
    int second = (first + 1 + random.nextInt(candidates.size() - 1)) % candidates.size();
    return preferred(candidates.get(first), candidates.get(second));
  }

  private EndpointSnapshot preferred(EndpointSnapshot first, EndpointSnapshot second) {
    Duration firstWait = loads.expectedWait(first.id());
    Duration secondWait = loads.expectedWait(second.id());
    Duration difference = firstWait.minus(secondWait);
    if (difference.abs().compareTo(settings.zoneTolerance()) > 0) {
      return difference.isNegative() ? first : second;
    }
    return second.zone().equals(ownZone) && !first.zone().equals(ownZone) ? second : first;
  }

  private RouteDecision replicaUnlessOverloaded(EndpointSnapshot replica, GroupSnapshot snapshot) {
    Duration replicaWait = loads.expectedWait(replica.id());
    boolean spillover =
        snapshot
            .primarySnapshot()
            .filter(EndpointSnapshot::isLive)
            .map(primary -> loads.expectedWait(primary.id()).plus(settings.spilloverMargin()))
            .filter(primaryWait -> replicaWait.compareTo(primaryWait) > 0)
            .isPresent();
    return spillover
        ? new RouteDecision.ToPrimary(snapshot.primary().orElseThrow())
        : new RouteDecision.ToReplica(replica.id());
  }

  /** Returns the live replica of the current term that is expected to replay the position first. */
  private Optional<CatchUp> firstToCatchUp(GroupRoutingState state, Position required) {
    Instant writtenAt = state.history().firstSeenAt(required).orElse(clock.instant());
    return state.snapshot().replicas().stream()
        .filter(EndpointSnapshot::isLive)
        .filter(replica -> replica.replayed().term().equals(state.snapshot().term()))
        .map(
            replica -> new CatchUp(replica, writtenAt.plus(estimatedLag(replica, state.history()))))
        .min(Comparator.comparing(CatchUp::expectedAt));
  }

  /**
   * Estimates the lag as the age of the first log that the replica had not replayed when polled.
   */
  private static Duration estimatedLag(EndpointSnapshot replica, PrimaryPositionHistory history) {
    return history
        .firstSeenAfter(replica.replayed())
        .filter(writtenAt -> writtenAt.isBefore(replica.askedAt()))
        .map(writtenAt -> Duration.between(writtenAt, replica.askedAt()))
        .orElse(Duration.ZERO);
  }

  private Instant catchUpDeadline(RouteRequest request) {
    Instant limit = request.arrivedAt().plus(settings.maximumCatchUpWait());
    Instant deadline = limit.isBefore(request.deadline()) ? limit : request.deadline();
    return deadline.isAfter(clock.instant()) ? deadline : Instant.MIN;
  }

  private static RouteDecision toPrimaryOrAwait(RouteRequest request, GroupSnapshot snapshot) {
    return snapshot
        .primarySnapshot()
        .filter(EndpointSnapshot::isLive)
        .<RouteDecision>map(primary -> new RouteDecision.ToPrimary(primary.id()))
        .orElseGet(() -> new RouteDecision.AwaitPrimary(request.deadline()));
  }

  private static RouteDecision refuse(ErrorKind kind, String detail) {
    return new RouteDecision.Refuse(new Failure(kind, detail));
  }

  private record CatchUp(EndpointSnapshot replica, Instant expectedAt) {}
}

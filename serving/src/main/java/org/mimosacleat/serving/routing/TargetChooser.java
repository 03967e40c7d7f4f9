package org.mimosacleat.serving.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.serving.endpoint.EndpointPool;
import org.mimosacleat.serving.endpoint.EndpointPools;
import org.mimosacleat.serving.fleet.EndpointEntry;
import org.mimosacleat.serving.fleet.FleetState;
import org.mimosacleat.serving.fleet.ReadConsistency;
import org.mimosacleat.serving.fleet.Route;
import org.mimosacleat.serving.selection.Candidate;
import org.mimosacleat.serving.selection.FairTurns;

/**
 * Chooses the endpoint for a statement. A read that may miss the newest writes is sent to the
 * endpoint whose turn is next, see {@link FairTurns}, together with a position that the endpoint's
 * log must include. The endpoint itself refuses the read if its log lacks that position, so a wrong
 * choice here cannot break the required consistency. All other statements are sent to the primary.
 */
public final class TargetChooser {
  /** Subtracted from the accepted age of reads, for network delay and coarse clocks. */
  private static final Duration AGE_MARGIN = Duration.ofMillis(100);

  /**
   * Multiplies the primary's expected time for reads: writes can run only there, so reads prefer
   * replicas unless the primary is clearly faster.
   */
  private static final double PRIMARY_COST_FACTOR = 1.5;

  private static final FairTurns STRATEGY = FairTurns.WITHOUT_REPORTS;

  /** A replica that answers slower than another by this factor is not kept for its connections. */
  private static final int MAX_WARM_SLOWDOWN = 2;

  private final FleetState fleet;
  private final EndpointPools pools;
  private final GroupStates groupStates;
  private final Predicate<GroupId> canUsePrimary;
  private final SuspensionDetector suspensions;
  private final RandomGenerator random;

  /**
   * Creates a chooser.
   *
   * @param canUsePrimary whether this proxy may rely on its knowledge of a group's primary
   * @param suspensions tells from when on the ages of positions are known
   */
  public TargetChooser(
      FleetState fleet,
      EndpointPools pools,
      GroupStates groupStates,
      Predicate<GroupId> canUsePrimary,
      SuspensionDetector suspensions,
      RandomGenerator random) {
    this.fleet = fleet;
    this.pools = pools;
    this.groupStates = groupStates;
    this.canUsePrimary = canUsePrimary;
    this.suspensions = suspensions;
    this.random = random;
  }

  /** Returns whether this proxy may use the primary of a group now. */
  public boolean mayUsePrimary(GroupId group) {
    return canUsePrimary.test(group);
  }

  /** Returns whether this proxy may use an endpoint as the primary of a group now. */
  public boolean mayUseAsPrimary(EndpointPool pool, GroupId group) {
    return isPrimary(groupStates.of(group), pool) && mayUsePrimary(group);
  }

  /** Returns whether a transaction that began at an endpoint as the primary may go on there now. */
  public boolean mayContinueAsPrimary(EndpointPool pool, GroupId group) {
    return groupStates.of(group).allowsOpenTransactions(pool.entry().id()) && mayUsePrimary(group);
  }

  /**
   * Returns whether an answer of an endpoint is still one of the primary: nobody can have promoted
   * another endpoint before it was received.
   */
  public boolean isStillPrimary(EndpointPool pool, GroupId group) {
    return groupStates.of(group).isReliablePrimary(pool.entry().id()) && mayUsePrimary(group);
  }

  /** Returns the group's primary, or no target if it is unknown or must not be used now. */
  public Target forPrimary(GroupId group) {
    GroupState state = groupStates.of(group);
    return state
        .primary()
        .filter(_ -> mayUsePrimary(group))
        .flatMap(pools::find)
        .<Target>map(Target.Primary::new)
        .orElseGet(() -> state.isUnavailable() ? new Target.Unavailable() : new Target.None());
  }

  /**
   * Chooses the endpoint for a read.
   *
   * @param team the team of the caller, if it has one
   * @param ownWrites the position of the session's last write
   * @param arrivedAt when the read, or its transaction, began
   * @param avoided endpoints that have refused this read
   */
  public Target forRead(
      Route route,
      Optional<TeamId> team,
      Position ownWrites,
      Instant arrivedAt,
      Set<EndpointId> avoided) {
    return switch (route.readConsistency()) {
      case ReadConsistency.Latest() -> forPrimary(route.group());
      case ReadConsistency.BoundedStaleness(Duration age) ->
          forAge(route.group(), team, Position.NONE, arrivedAt.minus(age), avoided);
      case ReadConsistency.ReadYourWrites(Duration age) ->
          forAge(route.group(), team, ownWrites, arrivedAt.minus(age), avoided);
    };
  }

  private Target forAge(
      GroupId group,
      Optional<TeamId> team,
      Position ownWrites,
      Instant oldest,
      Set<EndpointId> avoided) {
    GroupState state = groupStates.of(group);
    Instant since = later(oldest.plus(AGE_MARGIN), suspensions.lastDetectedAt());
    Optional<Position> minimum = state.earliestPositionIncluding(since);
    if (minimum.isEmpty()) {
      return forPrimary(group);
    }
    Position needed = neededPosition(state, ownWrites, minimum.get());
    return select(group, team, state, needed, avoided)
        .<Target>map(pool -> new Target.AfterPosition(pool, needed))
        .orElseGet(() -> forPrimary(group));
  }

  private static Instant later(Instant first, Instant second) {
    return first.isAfter(second) ? first : second;
  }

  /**
   * Returns the position that a read needs. A write of an earlier term is either in the log of the
   * present term or was lost with its primary, so any position of the present term covers it.
   */
  private static Position neededPosition(GroupState state, Position ownWrites, Position minimum) {
    boolean earlier = state.term().isAfter(ownWrites.term());
    return earlier ? minimum : Position.latest(ownWrites, minimum);
  }

  private Optional<EndpointPool> select(
      GroupId group,
      Optional<TeamId> team,
      GroupState state,
      Position needed,
      Set<EndpointId> avoided) {
    List<EndpointPool> accepting = withoutOverloaded(usable(group, state, needed, avoided));
    List<EndpointPool> usable = team.isPresent() ? warmFor(team, state, accepting) : accepting;
    if (usable.size() <= 1) {
      return usable.stream().findFirst();
    }
    List<Candidate> candidates = new ArrayList<>(usable.size());
    for (EndpointPool pool : usable) {
      candidates.add(candidate(pool, isPrimary(state, pool)));
    }
    int chosen = STRATEGY.choose(candidates, random);
    EndpointPool pool = usable.get(chosen);
    pool.health().setTurn(FairTurns.turnAfter(candidates, chosen));
    return Optional.of(pool);
  }

  private List<EndpointPool> usable(
      GroupId group, GroupState state, Position needed, Set<EndpointId> avoided) {
    List<EndpointPool> usable = new ArrayList<>();
    for (EndpointEntry entry : fleet.snapshot().endpointsOf(group)) {
      if (entry.draining() || avoided.contains(entry.id())) {
        continue;
      }
      pools
          .find(entry.id())
          .filter(pool -> !pool.health().isSuspect() && !pool.refusesConnections())
          .filter(pool -> isPrimary(state, pool) || !pool.health().lacks(needed))
          .ifPresent(usable::add);
    }
    return usable;
  }

  /** Leaves out endpoints that refused a statement a moment ago, unless all did. */
  private static List<EndpointPool> withoutOverloaded(List<EndpointPool> usable) {
    List<EndpointPool> accepting = new ArrayList<>(usable.size());
    for (EndpointPool pool : usable) {
      if (!pool.health().isOverloaded()) {
        accepting.add(pool);
      }
    }
    return accepting.isEmpty() ? usable : accepting;
  }

  /**
   * Returns the replicas to which an idle connection of the team is open, since another connection
   * can serve no other team and takes a slot while it opens. Returns all endpoints if there is
   * none, or if those are much slower than another replica.
   */
  private static List<EndpointPool> warmFor(
      Optional<TeamId> team, GroupState state, List<EndpointPool> usable) {
    List<EndpointPool> warm = new ArrayList<>(usable.size());
    long fastest = Long.MAX_VALUE;
    for (EndpointPool pool : usable) {
      if (!isPrimary(state, pool)) {
        fastest = Math.min(fastest, pool.health().answerTime().toNanos());
      }
    }
    for (EndpointPool pool : usable) {
      long answerNanos = pool.health().answerTime().toNanos();
      boolean slow = answerNanos > MAX_WARM_SLOWDOWN * fastest;
      if (!slow && !isPrimary(state, pool) && pool.hasIdle(team)) {
        warm.add(pool);
      }
    }
    return warm.isEmpty() ? usable : warm;
  }

  private static Candidate candidate(EndpointPool pool, boolean primary) {
    return new Candidate(
        pool.entry().slots(),
        pool.health().answerTime().toNanos(),
        pool.inFlight(),
        pool.health().turn(),
        Optional.empty(),
        primary ? PRIMARY_COST_FACTOR : 1,
        pool.hasOpenConnection());
  }

  private static boolean isPrimary(GroupState state, EndpointPool pool) {
    return state.primary().filter(pool.entry().id()::equals).isPresent();
  }
}

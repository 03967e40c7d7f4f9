package org.mimosacleat.lab.measure.failover;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.mimosacleat.core.acknowledgement.AcknowledgementTracker;
import org.mimosacleat.core.acknowledgement.ReplicaAcknowledgementTracker;
import org.mimosacleat.core.acknowledgement.TermMembership;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.core.promotion.FencingPromotionStateMachine;
import org.mimosacleat.core.promotion.GroupRow;
import org.mimosacleat.core.promotion.PromotionAction;
import org.mimosacleat.core.promotion.PromotionInput;
import org.mimosacleat.core.promotion.PromotionSettings;
import org.mimosacleat.core.promotion.PromotionStateMachine;
import org.mimosacleat.core.promotion.RowVersion;
import org.mimosacleat.lab.measure.Deployment;
import org.mimosacleat.lab.measure.EventQueue;

/** Simulates one loss of a primary with the production state machine and random latencies. */
final class FailoverRun {
  private static final Duration WARM_UP = Duration.ofMillis(500);
  private static final Duration RUN_LENGTH = Duration.ofSeconds(6);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(100);
  private static final Duration POLL_TIMEOUT = Duration.ofMillis(100);
  private static final Duration TICK_INTERVAL = Duration.ofMillis(10);
  private static final Duration WRITE_INTERVAL = Duration.ofMillis(2);
  private static final Duration HOME_LEASE = Duration.ofSeconds(1);
  private static final int PRIMARY_ZONE = 0;
  private static final int HOME_ZONE = 1;
  private static final int PEER_ZONE = 2;

  private final EventQueue queue = new EventQueue();
  private final Latencies latencies;
  private final Random random;
  private final Deployment deployment;
  private final Scenario scenario;
  private final PromotionSettings settings;
  private final Map<EndpointId, SimulatedEndpoint> endpoints = new TreeMap<>();
  private final Set<EndpointId> polling = new HashSet<>();
  private final AcknowledgementTracker tracker;
  private final List<Duration> acknowledgementDelays = new ArrayList<>();
  private final PromotionStateMachine machine;
  private GroupRow row;
  private Optional<TermMembership> servingTerm = Optional.empty();
  private Optional<Instant> lostAt = Optional.empty();
  private Optional<Duration> gap = Optional.empty();
  private Position committed = Position.NONE;
  private Position acknowledged = Position.NONE;
  private Optional<Position> promotedPosition = Optional.empty();
  private boolean homeLost;
  private boolean candidateLost;
  private int promotions;

  FailoverRun(Deployment deployment, Scenario scenario, PromotionSettings settings, long seed) {
    this.deployment = deployment;
    this.scenario = scenario;
    this.settings = settings;
    this.random = new Random(seed);
    this.latencies = new Latencies(deployment, random);
    for (int zone = 0; zone < deployment.endpointsPerGroup(); zone++) {
      EndpointId id = new EndpointId("endpoint-" + zone);
      endpoints.put(id, new SimulatedEndpoint(id, zone));
    }
    SimulatedEndpoint first = endpoints.values().iterator().next();
    first.becomePrimary(Term.FIRST);
    Set<EndpointId> members = Set.copyOf(endpoints.keySet());
    this.row =
        new GroupRow(
            new GroupId("lending"),
            Term.FIRST,
            Optional.of(first.id()),
            members,
            Term.FIRST,
            new RowVersion(0, new VmId("founder"), 0));
    this.tracker =
        new ReplicaAcknowledgementTracker(
            queue.clock(), () -> true, new TermMembership(Term.FIRST, first.id(), members));
    this.machine = newMachine("home");
  }

  FailoverResult run() {
    queue.scheduleAfter(Duration.ZERO, () -> step(new PromotionInput.LeaseGained(row)));
    endpoints.keySet().forEach(this::pollPeriodically);
    tickPeriodically();
    writePeriodically();
    queue.scheduleAfter(
        WARM_UP.plus(latencies.uniform(0, POLL_INTERVAL.toMillis())), this::losePrimary);
    queue.runUntil(RUN_LENGTH);
    Position retained = promotedPosition.orElse(committed);
    return new FailoverResult(
        gap,
        promotions,
        missingWrites(committed, retained),
        missingWrites(acknowledged, retained),
        acknowledgementDelays);
  }

  private PromotionStateMachine newMachine(String name) {
    return new FencingPromotionStateMachine(
        new VmId(name),
        deployment.zones().get(HOME_ZONE),
        queue.clock(),
        () -> true,
        random,
        settings);
  }

  private void losePrimary() {
    lostAt = Optional.of(queue.clock().instant());
    if (scenario != Scenario.ONE_SIDED) {
      originalPrimary().setReachable(false);
    }
    if (scenario == Scenario.HOME_LOST) {
      homeLost = true;
      servingTerm = Optional.empty();
      Duration remaining = HOME_LEASE.minus(latencies.uniform(0, HOME_LEASE.toMillis() / 3));
      queue.scheduleAfter(
          remaining.plus(latencies.tableRequest()).plus(latencies.tableRequest()),
          this::resumeHome);
    }
  }

  /** Resumes on a successor; gaining the lease resets the state machine like a new instance. */
  private void resumeHome() {
    homeLost = false;
    step(new PromotionInput.LeaseGained(row));
  }

  private SimulatedEndpoint originalPrimary() {
    return endpoints.values().iterator().next();
  }

  private boolean isUnreachable(SimulatedEndpoint endpoint) {
    boolean hiddenFromHome = scenario == Scenario.ONE_SIDED && lostAt.isPresent();
    return !endpoint.isReachable() || (hiddenFromHome && endpoint.zone() == PRIMARY_ZONE);
  }

  private void step(PromotionInput input) {
    if (!homeLost) {
      machine.step(input).forEach(this::perform);
    }
  }

  private void tickPeriodically() {
    step(new PromotionInput.Tick());
    tracker.tick();
    queue.scheduleAfter(TICK_INTERVAL, this::tickPeriodically);
  }

  private void pollPeriodically(EndpointId target) {
    poll(target);
    queue.scheduleAfter(POLL_INTERVAL, () -> pollPeriodically(target));
  }

  private void poll(EndpointId target) {
    if (homeLost || !polling.add(target)) {
      return;
    }
    Instant askedAt = queue.clock().instant();
    SimulatedEndpoint endpoint = endpoints.get(target);
    Duration outbound = oneWay(endpoint);
    queue.scheduleAfter(
        outbound,
        () -> {
          if (isUnreachable(endpoint)) {
            boolean connectionRefused = scenario == Scenario.STOPPED;
            completePoll(
                target,
                connectionRefused ? outbound : POLL_TIMEOUT.minus(outbound),
                () -> step(new PromotionInput.PollFailed(target)));
            return;
          }
          PromotionInput.PollAnswered input =
              new PromotionInput.PollAnswered(endpoint.pollResponse(askedAt));
          completePoll(
              target,
              oneWay(endpoint),
              () -> {
                tracker.applyPollResponse(input.response());
                step(input);
              });
        });
  }

  private void completePoll(EndpointId target, Duration returnDelay, Runnable action) {
    queue.scheduleAfter(
        returnDelay,
        () -> {
          polling.remove(target);
          action.run();
        });
  }

  private void writePeriodically() {
    servingTerm.ifPresent(this::write);
    queue.scheduleAfter(WRITE_INTERVAL, this::writePeriodically);
  }

  private void write(TermMembership membership) {
    SimulatedEndpoint primary = endpoints.get(membership.primary());
    queue.scheduleAfter(
        oneWay(primary),
        () -> {
          if (isUnreachable(primary) || !primary.isPrimaryOf(membership.term())) {
            return;
          }
          Position commit = primary.append();
          endpoints.values().stream()
              .filter(other -> other != primary)
              .forEach(other -> replicate(primary, other, commit));
          queue.scheduleAfter(oneWay(primary), () -> recordCommit(commit));
        });
  }

  private void replicate(SimulatedEndpoint primary, SimulatedEndpoint replica, Position commit) {
    Duration delay =
        latencies.between(primary.zone(), replica.zone()).plus(latencies.replicaFlush());
    queue.scheduleAfter(
        delay,
        () -> {
          if (primary.isReachable()) {
            replica.receive(commit);
          }
        });
  }

  private void recordCommit(Position commit) {
    Instant committedAt = queue.clock().instant();
    if (commit.term().equals(Term.FIRST)) {
      committed = Position.latest(committed, commit);
    }
    tracker
        .await(commit, committedAt.plusSeconds(2))
        .thenAccept(
            result -> result.forEach(position -> recordAcknowledgement(position, committedAt)));
    pollReplicas();
  }

  /**
   * Polls the replicas immediately after a commit, because writes wait for their positions. Each
   * further commit polls them again.
   */
  private void pollReplicas() {
    servingTerm.ifPresent(
        membership ->
            endpoints.keySet().stream()
                .filter(membership::isReplica)
                .forEach(replica -> poll(replica)));
  }

  private void recordAcknowledgement(Position commit, Instant committedAt) {
    Instant now = queue.clock().instant();
    if (commit.term().equals(Term.FIRST)) {
      acknowledged = Position.latest(acknowledged, commit);
      acknowledgementDelays.add(Duration.between(committedAt, now));
    } else if (gap.isEmpty()) {
      gap = lostAt.map(lost -> Duration.between(lost, now));
    }
  }

  private void perform(PromotionAction action) {
    switch (action) {
      case PromotionAction.Poll(EndpointId target) -> poll(target);
      case PromotionAction.RequestPeerEvidence(EndpointId target, long round) ->
          requestEvidence(target, round);
      case PromotionAction.WriteRow(GroupRow next, RowVersion expected) -> {
        if (isTableUp()) {
          queue.scheduleAfter(latencies.tableRequest(), () -> writeRow(next, expected));
        }
      }
      case PromotionAction.ReadRow() -> {
        if (isTableUp()) {
          queue.scheduleAfter(
              latencies.tableRequest(), () -> step(new PromotionInput.RowRead(row)));
        }
      }
      case PromotionAction.Fence(EndpointId target, Term term) ->
          sendCommand(target, latencies.fenceFlush(), endpoint -> fence(endpoint, term));
      case PromotionAction.Promote(EndpointId target, Term term) -> {
        makeCandidateUnreachable(endpoints.get(target));
        sendCommand(target, latencies.promotion(), endpoint -> promote(endpoint, term));
      }
      case PromotionAction.Follow(EndpointId target, EndpointId primary, Term term) ->
          sendCommand(
              target,
              latencies.primaryChange(),
              endpoint -> follow(endpoint, endpoints.get(primary), term));
      case PromotionAction.EndService end -> servingTerm = Optional.empty();
      case PromotionAction.SuspendService suspend -> {
        tracker.suspend();
        servingTerm = Optional.empty();
      }
      case PromotionAction.StartTerm(TermMembership membership) -> {
        tracker.startTerm(membership);
        promotedPosition = Optional.of(endpoints.get(membership.primary()).position());
      }
      case PromotionAction.AnnouncePrimary(TermMembership membership, Position position) -> {
        tracker.startTerm(membership);
        servingTerm = Optional.of(membership);
      }
      case PromotionAction.OfferHome offer -> {
        // The home does not move in this simulation.
      }
      case PromotionAction.LogDecision decision -> {
        // Explanations are not recorded.
      }
    }
  }

  private boolean isTableUp() {
    return scenario != Scenario.TABLE_DOWN || lostAt.isEmpty();
  }

  private void writeRow(GroupRow next, RowVersion expected) {
    if (row.version().equals(expected)) {
      row = next;
      step(new PromotionInput.RowWritten(next.version()));
    } else {
      step(new PromotionInput.RowRefused(next.version()));
    }
  }

  private void requestEvidence(EndpointId target, long round) {
    SimulatedEndpoint endpoint = endpoints.get(target);
    boolean reachable = endpoint.isReachable();
    Duration probe =
        reachable || scenario == Scenario.STOPPED
            ? latencies.between(PEER_ZONE, endpoint.zone()).multipliedBy(2)
            : POLL_TIMEOUT;
    Duration outbound = latencies.between(HOME_ZONE, PEER_ZONE);
    queue.scheduleAfter(
        outbound.plus(probe).plus(outbound),
        () ->
            step(
                new PromotionInput.EvidenceReceived(
                    deployment.zones().get(PEER_ZONE), round, reachable)));
  }

  private void makeCandidateUnreachable(SimulatedEndpoint candidate) {
    if (scenario != Scenario.CANDIDATE_LOST || candidateLost) {
      return;
    }
    candidateLost = true;
    candidate.setReachable(false);
    queue.scheduleAfter(Duration.ofMillis(500), () -> candidate.setReachable(true));
  }

  private void sendCommand(
      EndpointId target,
      Duration executionTime,
      java.util.function.Consumer<SimulatedEndpoint> command) {
    SimulatedEndpoint endpoint = endpoints.get(target);
    queue.scheduleAfter(
        oneWay(endpoint).plus(executionTime),
        () -> {
          if (!isUnreachable(endpoint)) {
            command.accept(endpoint);
          }
        });
  }

  private void fence(SimulatedEndpoint endpoint, Term term) {
    endpoint.raiseFence(term);
    PromotionInput answer =
        new PromotionInput.FenceAnswered(
            endpoint.id(), term, endpoint.fence(), endpoint.position());
    queue.scheduleAfter(oneWay(endpoint), () -> step(answer));
  }

  private void promote(SimulatedEndpoint endpoint, Term term) {
    if (endpoint.fence().isAfter(term)) {
      return;
    }
    promotions++;
    endpoint.becomePrimary(term);
    Position start = endpoint.position();
    queue.scheduleAfter(
        oneWay(endpoint), () -> step(new PromotionInput.PromoteAnswered(endpoint.id(), start)));
  }

  private void follow(SimulatedEndpoint endpoint, SimulatedEndpoint primary, Term term) {
    if (primary.isPrimaryOf(term) && !endpoint.fence().isAfter(term)) {
      endpoint.receive(primary.position());
      poll(endpoint.id());
    }
  }

  private Duration oneWay(SimulatedEndpoint endpoint) {
    return latencies.between(HOME_ZONE, endpoint.zone());
  }

  private static long missingWrites(Position written, Position retained) {
    return Math.max(0, written.log().bytes() - retained.log().bytes());
  }
}

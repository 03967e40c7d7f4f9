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

/** One loss of a primary, by the decisions over event-driven latencies. */
final class FailoverRun {
  private static final Duration WARM_UP = Duration.ofMillis(500);
  private static final Duration LIMIT = Duration.ofSeconds(6);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(100);
  private static final Duration POLL_TIMEOUT = Duration.ofMillis(100);
  private static final Duration TICK = Duration.ofMillis(10);
  private static final Duration WRITE_INTERVAL = Duration.ofMillis(2);
  private static final Duration LEASE = Duration.ofSeconds(1);
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
  private final List<Duration> added = new ArrayList<>();
  private final PromotionStateMachine machine;
  private GroupRow row;
  private Optional<TermMembership> serving = Optional.empty();
  private Optional<Instant> cutAt = Optional.empty();
  private Optional<Duration> gap = Optional.empty();
  private Position answered = Position.NONE;
  private Position acknowledged = Position.NONE;
  private Optional<Position> chosen = Optional.empty();
  private boolean homeLost;
  private boolean candidateLost;
  private int promotions;

  FailoverRun(Deployment deployment, Scenario scenario, PromotionSettings settings, long seed) {
    this.deployment = deployment;
    this.scenario = scenario;
    this.settings = settings;
    this.random = new Random(seed);
    this.latencies = new Latencies(deployment, random);
    for (int zone = 0; zone < deployment.instances(); zone++) {
      EndpointId id = new EndpointId("endpoint-" + zone);
      endpoints.put(id, new SimulatedEndpoint(id, zone));
    }
    SimulatedEndpoint first = endpoints.values().iterator().next();
    first.lead(Term.FIRST);
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
    queue.after(Duration.ZERO, () -> step(new PromotionInput.LeaseGained(row)));
    endpoints.keySet().forEach(this::pollEvery);
    tickEvery();
    writeEvery();
    queue.after(WARM_UP.plus(latencies.uniform(0, POLL_INTERVAL.toMillis())), this::lose);
    queue.runUntil(LIMIT);
    Position kept = chosen.orElse(answered);
    return new FailoverResult(
        gap, promotions, missing(answered, kept), missing(acknowledged, kept), added);
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

  private void lose() {
    cutAt = Optional.of(queue.clock().instant());
    if (scenario != Scenario.ONE_SIDED) {
      primary().setReachable(false);
    }
    if (scenario == Scenario.HOME_LOST) {
      homeLost = true;
      serving = Optional.empty();
      Duration left = LEASE.minus(latencies.uniform(0, LEASE.toMillis() / 3));
      queue.after(left.plus(latencies.table()).plus(latencies.table()), this::takeOver);
    }
  }

  /** The successor starts with a machine that knows nothing, which a new lease amounts to. */
  private void takeOver() {
    homeLost = false;
    step(new PromotionInput.LeaseGained(row));
  }

  private SimulatedEndpoint primary() {
    return endpoints.values().iterator().next();
  }

  private boolean isLost(SimulatedEndpoint endpoint) {
    boolean hidden = scenario == Scenario.ONE_SIDED && cutAt.isPresent();
    return !endpoint.isReachable() || (hidden && endpoint.zone() == PRIMARY_ZONE);
  }

  private void step(PromotionInput input) {
    if (!homeLost) {
      machine.step(input).forEach(this::carryOut);
    }
  }

  private void tickEvery() {
    step(new PromotionInput.Tick());
    tracker.tick();
    queue.after(TICK, this::tickEvery);
  }

  private void pollEvery(EndpointId target) {
    poll(target);
    queue.after(POLL_INTERVAL, () -> pollEvery(target));
  }

  private void poll(EndpointId target) {
    if (homeLost || !polling.add(target)) {
      return;
    }
    Instant askedAt = queue.clock().instant();
    SimulatedEndpoint endpoint = endpoints.get(target);
    Duration there = oneWay(endpoint);
    queue.after(
        there,
        () -> {
          if (isLost(endpoint)) {
            boolean refuses = scenario == Scenario.STOPPED;
            answerPoll(
                target,
                refuses ? there : POLL_TIMEOUT.minus(there),
                () -> step(new PromotionInput.PollFailed(target)));
            return;
          }
          PromotionInput.PollAnswered input =
              new PromotionInput.PollAnswered(endpoint.answer(askedAt));
          answerPoll(
              target,
              oneWay(endpoint),
              () -> {
                tracker.applyPollResponse(input.response());
                step(input);
              });
        });
  }

  private void answerPoll(EndpointId target, Duration back, Runnable work) {
    queue.after(
        back,
        () -> {
          polling.remove(target);
          work.run();
        });
  }

  private void writeEvery() {
    serving.ifPresent(this::write);
    queue.after(WRITE_INTERVAL, this::writeEvery);
  }

  private void write(TermMembership reign) {
    SimulatedEndpoint leader = endpoints.get(reign.primary());
    queue.after(
        oneWay(leader),
        () -> {
          if (isLost(leader) || !leader.isPrimaryOf(reign.term())) {
            return;
          }
          Position commit = leader.append();
          endpoints.values().stream()
              .filter(other -> other != leader)
              .forEach(other -> replicate(leader, other, commit));
          queue.after(oneWay(leader), () -> committed(commit));
        });
  }

  private void replicate(SimulatedEndpoint leader, SimulatedEndpoint replica, Position commit) {
    Duration delay = latencies.between(leader.zone(), replica.zone()).plus(latencies.flush());
    queue.after(
        delay,
        () -> {
          if (leader.isReachable()) {
            replica.receive(commit);
          }
        });
  }

  private void committed(Position commit) {
    Instant at = queue.clock().instant();
    if (commit.term().equals(Term.FIRST)) {
      answered = Position.latest(answered, commit);
    }
    tracker
        .await(commit, at.plusSeconds(2))
        .thenAccept(result -> result.forEach(position -> acknowledged(position, at)));
    pollReplicas();
  }

  /** After a commit the replicas are asked at once, and again while writes wait. */
  private void pollReplicas() {
    serving.ifPresent(
        reign ->
            endpoints.keySet().stream().filter(reign::isReplica).forEach(replica -> poll(replica)));
  }

  private void acknowledged(Position commit, Instant committedAt) {
    Instant now = queue.clock().instant();
    if (commit.term().equals(Term.FIRST)) {
      acknowledged = Position.latest(acknowledged, commit);
      added.add(Duration.between(committedAt, now));
    } else if (gap.isEmpty()) {
      gap = cutAt.map(cut -> Duration.between(cut, now));
    }
  }

  private void carryOut(PromotionAction action) {
    switch (action) {
      case PromotionAction.Poll(EndpointId target) -> poll(target);
      case PromotionAction.RequestPeerEvidence(EndpointId target, long round) ->
          askPeer(target, round);
      case PromotionAction.WriteRow(GroupRow next, RowVersion expected) -> {
        if (isTableUp()) {
          queue.after(latencies.table(), () -> writeRow(next, expected));
        }
      }
      case PromotionAction.ReadRow() -> {
        if (isTableUp()) {
          queue.after(latencies.table(), () -> step(new PromotionInput.RowRead(row)));
        }
      }
      case PromotionAction.Fence(EndpointId target, Term term) ->
          atEndpoint(target, latencies.fence(), endpoint -> fence(endpoint, term));
      case PromotionAction.Promote(EndpointId target, Term term) -> {
        loseCandidate(endpoints.get(target));
        atEndpoint(target, latencies.promote(), endpoint -> promote(endpoint, term));
      }
      case PromotionAction.Follow(EndpointId target, EndpointId leader, Term term) ->
          atEndpoint(
              target,
              latencies.follow(),
              endpoint -> follow(endpoint, endpoints.get(leader), term));
      case PromotionAction.SuspendService withdraw -> {
        tracker.suspend();
        serving = Optional.empty();
      }
      case PromotionAction.StartTerm(TermMembership reign) -> {
        tracker.startTerm(reign);
        chosen = Optional.of(endpoints.get(reign.primary()).position());
      }
      case PromotionAction.AnnouncePrimary(TermMembership reign, Position position) -> {
        tracker.startTerm(reign);
        serving = Optional.of(reign);
      }
      case PromotionAction.OfferHome offer -> {
        // The run ends with the home where it is.
      }
      case PromotionAction.LogDecision explain -> {
        // Nothing to do.
      }
    }
  }

  private boolean isTableUp() {
    return scenario != Scenario.TABLE_DOWN || cutAt.isEmpty();
  }

  private void writeRow(GroupRow next, RowVersion expected) {
    if (row.version().equals(expected)) {
      row = next;
      step(new PromotionInput.RowWritten(next.version()));
    } else {
      step(new PromotionInput.RowRefused(next.version()));
    }
  }

  private void askPeer(EndpointId target, long round) {
    SimulatedEndpoint endpoint = endpoints.get(target);
    boolean reachable = endpoint.isReachable();
    Duration probe =
        reachable || scenario == Scenario.STOPPED
            ? latencies.between(PEER_ZONE, endpoint.zone()).multipliedBy(2)
            : POLL_TIMEOUT;
    Duration there = latencies.between(HOME_ZONE, PEER_ZONE);
    queue.after(
        there.plus(probe).plus(there),
        () ->
            step(
                new PromotionInput.EvidenceReceived(
                    deployment.zones().get(PEER_ZONE), round, reachable)));
  }

  private void loseCandidate(SimulatedEndpoint candidate) {
    if (scenario != Scenario.CANDIDATE_LOST || candidateLost) {
      return;
    }
    candidateLost = true;
    candidate.setReachable(false);
    queue.after(Duration.ofMillis(500), () -> candidate.setReachable(true));
  }

  private void atEndpoint(
      EndpointId target, Duration work, java.util.function.Consumer<SimulatedEndpoint> command) {
    SimulatedEndpoint endpoint = endpoints.get(target);
    queue.after(
        oneWay(endpoint).plus(work),
        () -> {
          if (!isLost(endpoint)) {
            command.accept(endpoint);
          }
        });
  }

  private void fence(SimulatedEndpoint endpoint, Term term) {
    endpoint.fenceAt(term);
    PromotionInput answer =
        new PromotionInput.FenceAnswered(
            endpoint.id(), term, endpoint.fence(), endpoint.position());
    queue.after(oneWay(endpoint), () -> step(answer));
  }

  private void promote(SimulatedEndpoint endpoint, Term term) {
    if (endpoint.fence().isAfter(term)) {
      return;
    }
    promotions++;
    endpoint.lead(term);
    Position start = endpoint.position();
    queue.after(
        oneWay(endpoint), () -> step(new PromotionInput.PromoteAnswered(endpoint.id(), start)));
  }

  private void follow(SimulatedEndpoint endpoint, SimulatedEndpoint leader, Term term) {
    if (leader.isPrimaryOf(term) && !endpoint.fence().isAfter(term)) {
      endpoint.receive(leader.position());
      poll(endpoint.id());
    }
  }

  private Duration oneWay(SimulatedEndpoint endpoint) {
    return latencies.between(HOME_ZONE, endpoint.zone());
  }

  private static long missing(Position written, Position kept) {
    return Math.max(0, written.log().bytes() - kept.log().bytes());
  }
}

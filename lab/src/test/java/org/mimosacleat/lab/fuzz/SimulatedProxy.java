package org.mimosacleat.lab.fuzz;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.mimosacleat.core.acknowledgement.AcknowledgementTracker;
import org.mimosacleat.core.acknowledgement.LeaseStatus;
import org.mimosacleat.core.acknowledgement.PollResponse;
import org.mimosacleat.core.acknowledgement.TermMembership;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.SessionId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.lease.FencingToken;
import org.mimosacleat.core.lease.LeaseAction;
import org.mimosacleat.core.lease.LeaseInput;
import org.mimosacleat.core.lease.LeaseRights;
import org.mimosacleat.core.lease.LeaseStateMachine;
import org.mimosacleat.core.lease.LeaseTimes;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.core.promotion.FencingPromotionStateMachine;
import org.mimosacleat.core.promotion.PromotionAction;
import org.mimosacleat.core.promotion.PromotionInput;
import org.mimosacleat.core.promotion.PromotionSettings;
import org.mimosacleat.core.promotion.PromotionStateMachine;
import org.mimosacleat.core.routing.Freshness;
import org.mimosacleat.core.routing.GroupRoutingState;
import org.mimosacleat.core.routing.RouteDecision;
import org.mimosacleat.core.routing.RouteRequest;
import org.mimosacleat.core.routing.Router;
import org.mimosacleat.core.session.SessionPositions;
import org.mimosacleat.core.statement.StatementKind;

/**
 * The decision components of one proxy for one group, called in the same order as in production.
 */
final class SimulatedProxy {
  private static final Duration SILENCE_TIMEOUT = Duration.ofMillis(700);
  private static final Duration PAUSE_THRESHOLD = Duration.ofMillis(250);
  private static final Duration CONFIRMATION_TIMEOUT = Duration.ofMillis(1000);

  private final int number;
  private final GroupSimulation simulation;
  private final VmId vm;
  private final LeaseStateMachine lease;
  private final LeaseStatus leaseStatus;
  private final PromotionStateMachine promotion;
  private final AcknowledgementTracker tracker;
  private final SessionPositions positions;
  private final SimulatedGroupState groupState;
  private final Router router;
  private final Deque<Runnable> inbox = new ArrayDeque<>();
  private final List<ClientRequest.Attempt> waitingAttempts = new ArrayList<>();
  private final List<ClientRequest.Attempt> openAttempts = new ArrayList<>();
  private Instant silentSince;
  private Instant lastTick;
  private Instant nextAcquisition = Instant.MIN;
  private boolean leaseHeld;
  private boolean serving;
  private boolean awaitingGroupRow;
  private boolean up = true;
  private boolean paused;

  SimulatedProxy(int number, GroupSimulation simulation, ProxyComponents components) {
    this.number = number;
    this.simulation = simulation;
    this.vm = simulation.vm(number);
    this.silentSince = simulation.now();
    this.lastTick = simulation.now();
    AvailabilityZone zone = simulation.zone(number);
    this.lease =
        new LeaseStateMachine(
            vm,
            simulation.group(),
            simulation.clock(),
            LeaseTimes.STANDARD,
            simulation::nextWriteId);
    this.leaseStatus = components.leaseStatus(simulation.clock(), lease::rights);
    this.promotion =
        new FencingPromotionStateMachine(
            vm,
            zone,
            simulation.clock(),
            leaseStatus,
            simulation.random(),
            PromotionSettings.ENDPOINT_LEASE);
    TermMembership unknown =
        new TermMembership(new Term(0), simulation.endpoint(0), simulation.endpointIds());
    this.tracker = components.tracker(simulation.clock(), leaseStatus, unknown);
    this.positions = components.positions();
    this.groupState = new SimulatedGroupState(simulation.initialSnapshot());
    this.router = components.router(simulation.clock(), simulation.random(), zone);
  }

  @Override
  public String toString() {
    return vm
        + ": up "
        + up
        + ", paused "
        + paused
        + ", claims the lease "
        + lease.holds()
        + ", rights "
        + lease.rights()
        + ", serving "
        + serving
        + ", awaiting the group row "
        + awaitingGroupRow
        + ", primary "
        + primary();
  }

  boolean isUp() {
    return up;
  }

  boolean isPaused() {
    return paused;
  }

  boolean isServing() {
    return serving && lease.rights().isHome(simulation.now());
  }

  Optional<EndpointId> primary() {
    return groupState.snapshot().primary();
  }

  void pause() {
    paused = true;
  }

  void resume() {
    paused = false;
    processInbox();
  }

  /** Crashes: clients lose their connections, and later messages are ignored. */
  void kill() {
    up = false;
    for (ClientRequest.Attempt attempt : List.copyOf(openAttempts)) {
      attempt.fail(new Failure(ErrorKind.CONNECTION_LOST, vm + " died"));
    }
  }

  void enqueue(Runnable input) {
    if (!up) {
      return;
    }
    inbox.add(input);
    processInbox();
  }

  void receiveHeartbeat() {
    if (!paused) {
      silentSince = simulation.now();
    }
  }

  void tick() {
    if (!up || paused) {
      return;
    }
    detectPause();
    step(new LeaseInput.Tick());
    updateServing();
    step(new PromotionInput.Tick());
    tracker.tick();
    detectLeaseLoss();
    if (lease.holds()) {
      simulation.sendHeartbeat(this);
    }
    if (serving) {
      simulation.leaving().forEach(this::markLeaving);
      simulation.instances().forEach(this::poll);
    } else {
      acquireIfHomeSilent();
    }
    retryWaiting();
  }

  /** Tries to become the home on a suspicion that the current home has failed, right or wrong. */
  void acquireLease() {
    if (up && !paused && !lease.holds()) {
      step(
          new LeaseInput.Acquire(
              "suspected", simulation.otherVms(number), simulation.endpointIds()));
    }
  }

  void handOver() {
    if (up && !paused && lease.holds()) {
      int next = (number + 1) % GroupSimulation.PROXIES;
      step(new LeaseInput.HandOver(simulation.vm(next), simulation.otherVms(next)));
      updateServing();
    }
  }

  void receiveHandOver(LeaseAction.NotifyNextHome notification) {
    step(new LeaseInput.HandedOver(notification.row(), notification.expiredThrough()));
  }

  void startAttempt(ClientRequest.Attempt attempt) {
    if (!up) {
      attempt.fail(new Failure(ErrorKind.UNAVAILABLE, vm + " cannot be reached"));
      return;
    }
    openAttempts.add(attempt);
    enqueue(() -> route(attempt));
  }

  private void processInbox() {
    while (up && !paused && !inbox.isEmpty()) {
      inbox.poll().run();
    }
  }

  private void updateServing() {
    LeaseRights rights = lease.rights();
    if (leaseStatus.isHeld() && !serving) {
      serving = true;
      readGroupRow();
    } else if (serving && !rights.isHome(simulation.now())) {
      endService();
      step(new PromotionInput.LeaseLost());
    }
    if (serving && awaitingGroupRow) {
      readGroupRow();
    }
  }

  private void readGroupRow() {
    awaitingGroupRow = true;
    simulation.send(
        new Message(
            this,
            new Destination.Table(),
            simulation.now(),
            () -> {
              var row = simulation.table().groupRow();
              return () -> {
                if (awaitingGroupRow && serving) {
                  awaitingGroupRow = false;
                  step(new PromotionInput.LeaseGained(row));
                }
              };
            },
            () -> {}));
  }

  /** Restarts the silence timeout after a pause, since heartbeats may have been missed in it. */
  private void detectPause() {
    if (Duration.between(lastTick, simulation.now()).compareTo(PAUSE_THRESHOLD) > 0) {
      silentSince = simulation.now();
    }
    lastTick = simulation.now();
  }

  /** After losing the lease, reads the new holder before this proxy may try to acquire it again. */
  private void detectLeaseLoss() {
    boolean isLost = leaseHeld && !lease.holds();
    leaseHeld = lease.holds();
    if (isLost) {
      silentSince = simulation.now();
      nextAcquisition = simulation.now().plus(SILENCE_TIMEOUT);
      executeLeaseAction(new LeaseAction.ReadRow());
    }
  }

  private void acquireIfHomeSilent() {
    Instant now = simulation.now();
    boolean isSilent = Duration.between(silentSince, now).compareTo(SILENCE_TIMEOUT) > 0;
    if (lease.holds() || now.isBefore(nextAcquisition)) {
      return;
    }
    if (isSilent || lease.knownHome().equals(Optional.of(vm))) {
      nextAcquisition = now.plus(SILENCE_TIMEOUT.multipliedBy(number + 1L));
      acquireLease();
    }
  }

  private void markLeaving(EndpointId endpoint) {
    groupState.endpointLeaving(endpoint);
    step(new PromotionInput.EndpointDraining(endpoint));
  }

  private void poll(FakeInstance instance) {
    Instant askedAt = simulation.now();
    simulation.send(
        new Message(
            this,
            new Destination.Instance(instance),
            askedAt,
            () -> {
              PollResponse response = instance.pollResponse(askedAt);
              return () -> receivePollResponse(response);
            },
            () -> {
              groupState.pollFailed(instance.id());
              step(new PromotionInput.PollFailed(instance.id()));
            }));
  }

  private void receivePollResponse(PollResponse response) {
    groupState.pollAnswered(response);
    tracker.applyPollResponse(response);
    step(new PromotionInput.PollAnswered(response));
  }

  private void endService() {
    serving = false;
    clearPrimary();
    positions.clearFloor();
  }

  private void clearPrimary() {
    tracker.suspend();
    groupState.clearPrimary();
  }

  private void step(LeaseInput input) {
    lease.step(input).forEach(this::executeLeaseAction);
  }

  private void step(PromotionInput input) {
    promotion.step(input).forEach(this::executePromotionAction);
  }

  private void executeLeaseAction(LeaseAction action) {
    switch (action) {
      case LeaseAction.ReadRow() ->
          sendToTable(
              () -> {
                var row = simulation.table().leaseRow();
                return () -> step(new LeaseInput.RowRead(row));
              },
              () -> step(new LeaseInput.StoreTimedOut()));
      case LeaseAction.WriteRow write ->
          sendToTable(
              () -> {
                boolean applied = simulation.table().write(write);
                return () ->
                    step(
                        applied
                            ? new LeaseInput.WriteApplied(write.row().writeId())
                            : new LeaseInput.WriteRefused(write.row().writeId()));
              },
              () -> step(new LeaseInput.StoreTimedOut()));
      case LeaseAction.Fence fence -> sendToken(fence);
      case LeaseAction.NotifyNextHome notification -> simulation.sendHandOver(this, notification);
      case LeaseAction.LogDecision decision ->
          simulation.recordExplanation(vm, decision.explanation());
    }
  }

  private void sendToken(LeaseAction.Fence fence) {
    FakeInstance instance = simulation.instance(fence.endpoint());
    Instant sentAt = simulation.now();
    sendToInstance(
        instance,
        () -> {
          instance.recordToken(fence.token());
          LeaseInput.FenceAnswered answer =
              new LeaseInput.FenceAnswered(
                  instance.id(), fence.token(), instance.token(), instance.previousToken(), sentAt);
          return () -> step(answer);
        },
        () -> {});
  }

  private void executePromotionAction(PromotionAction action) {
    FencingToken token = lease.rights().token();
    switch (action) {
      case PromotionAction.Poll(EndpointId endpoint) -> poll(simulation.instance(endpoint));
      case PromotionAction.RequestPeerEvidence query ->
          simulation.sendReachabilityQuery(this, query);
      case PromotionAction.OfferHome offer -> handOver();
      case PromotionAction.WriteRow write ->
          sendToTable(
              () -> {
                boolean applied = simulation.table().write(write);
                return () ->
                    step(
                        applied
                            ? new PromotionInput.RowWritten(write.row().version())
                            : new PromotionInput.RowRefused(write.row().version()));
              },
              () -> {});
      case PromotionAction.ReadRow() ->
          sendToTable(
              () -> {
                var row = simulation.table().groupRow();
                return () -> step(new PromotionInput.RowRead(row));
              },
              () -> {});
      case PromotionAction.Fence fence -> fence(fence, token);
      case PromotionAction.SuspendService suspend -> clearPrimary();
      case PromotionAction.EndService end -> endService();
      case PromotionAction.StartTerm start -> tracker.startTerm(start.membership());
      case PromotionAction.Promote promote -> promote(promote, token);
      case PromotionAction.Follow follow -> follow(follow, token);
      case PromotionAction.AnnouncePrimary announce -> announcePrimary(announce);
      case PromotionAction.LogDecision(String explanation) ->
          simulation.recordExplanation(vm, explanation);
    }
  }

  void receiveEvidence(AvailabilityZone zone, long round, boolean reachable) {
    step(new PromotionInput.EvidenceReceived(zone, round, reachable));
  }

  private void announcePrimary(PromotionAction.AnnouncePrimary announce) {
    simulation.oracle().recordAnnouncement(simulation.instance(announce.membership().primary()));
    tracker.startTerm(announce.membership());
    positions.setFloor(announce.position());
    groupState.primaryAnnounced(announce.membership());
  }

  private void fence(PromotionAction.Fence fence, FencingToken token) {
    FakeInstance instance = simulation.instance(fence.endpoint());
    sendToInstance(
        instance,
        () -> {
          if (!instance.acceptsToken(token)) {
            return () -> {};
          }
          instance.fence(fence.term());
          PromotionInput answer =
              new PromotionInput.FenceAnswered(
                  instance.id(), fence.term(), instance.fencedAt(), instance.received());
          return () -> step(answer);
        },
        () -> {});
  }

  private void promote(PromotionAction.Promote promote, FencingToken token) {
    FakeInstance instance = simulation.instance(promote.endpoint());
    Runnable failure =
        () -> step(new PromotionInput.PromoteFailed(promote.endpoint(), promote.term()));
    sendToInstance(
        instance,
        () -> {
          if (!instance.acceptsToken(token)) {
            return failure;
          }
          instance.promote();
          simulation.oracle().recordPromotion(instance.term());
          Position start = instance.received();
          return () -> step(new PromotionInput.PromoteAnswered(instance.id(), start));
        },
        failure);
  }

  private void follow(PromotionAction.Follow follow, FencingToken token) {
    FakeInstance instance = simulation.instance(follow.endpoint());
    sendToInstance(
        instance,
        () -> {
          if (instance.acceptsToken(token)) {
            instance.follow(simulation.instance(follow.primary()));
          }
          return () -> {};
        },
        () -> {});
  }

  private void sendToInstance(
      FakeInstance instance, java.util.function.Supplier<Runnable> effect, Runnable failure) {
    simulation.send(
        new Message(this, new Destination.Instance(instance), simulation.now(), effect, failure));
  }

  private void sendToTable(java.util.function.Supplier<Runnable> effect, Runnable failure) {
    simulation.send(new Message(this, new Destination.Table(), simulation.now(), effect, failure));
  }

  private void retryWaiting() {
    List<ClientRequest.Attempt> retried = List.copyOf(waitingAttempts);
    waitingAttempts.clear();
    retried.forEach(this::route);
    for (ClientRequest.Attempt attempt : List.copyOf(openAttempts)) {
      boolean isExpired = !simulation.now().isBefore(attempt.request().deadline());
      if (!attempt.isEnded() && attempt.isSent() && isExpired) {
        attempt.fail(new Failure(ErrorKind.DEADLINE_AFTER_START, "no answer before the deadline"));
      }
    }
    openAttempts.removeIf(ClientRequest.Attempt::isEnded);
  }

  private void route(ClientRequest.Attempt attempt) {
    if (!lease.rights().isHome(simulation.now())) {
      attempt.fail(new Failure(ErrorKind.NOT_HOME, vm + " is not the home"));
      return;
    }
    ClientRequest request = attempt.request();
    Optional<Position> required = positions.required(new SessionId(request.session()));
    RouteRequest routeRequest =
        new RouteRequest(
            request.isWrite() ? StatementKind.WRITE : StatementKind.READ,
            new Freshness.ReadYourWrites(required),
            request.issuedAt(),
            request.deadline());
    GroupRoutingState routingState =
        new GroupRoutingState(
            groupState.snapshot(), groupState.history(), positions.highest(), leaseStatus.isHeld());
    switch (router.route(routeRequest, routingState)) {
      case RouteDecision.ToPrimary(EndpointId endpoint) -> run(attempt, endpoint);
      case RouteDecision.ToReplica(EndpointId endpoint) -> run(attempt, endpoint);
      case RouteDecision.AwaitReplica wait -> waitingAttempts.add(attempt);
      case RouteDecision.AwaitPrimary wait -> waitingAttempts.add(attempt);
      case RouteDecision.Refuse(Failure failure) -> attempt.fail(failure);
    }
  }

  private void run(ClientRequest.Attempt attempt, EndpointId endpoint) {
    FakeInstance instance = simulation.instance(endpoint);
    FencingToken token = lease.rights().token();
    final Term term = groupState.snapshot().term();
    if (!simulation.canConnect(instance) || !instance.acceptsToken(token)) {
      attempt.fail(new Failure(ErrorKind.UNAVAILABLE, endpoint + " cannot be reached"));
      return;
    }
    attempt.markSent();
    simulation.oracle().recordSent(endpoint, simulation.now());
    Runnable onFailure =
        () -> attempt.fail(new Failure(simulation.components().lostAnswerKind(), "no answer"));
    sendToInstance(
        instance,
        () -> {
          if (!instance.acceptsToken(token)) {
            return onFailure;
          }
          return attempt.request().isWrite()
              ? write(attempt, instance, term)
              : read(attempt, instance);
        },
        onFailure);
  }

  private Runnable read(ClientRequest.Attempt attempt, FakeInstance instance) {
    Set<String> seen = instance.visibleWrites();
    ClientRequest request = attempt.request();
    return () ->
        attempt.succeed(
            () ->
                simulation.oracle().recordRead(request.session(), request.requiredWrites(), seen));
  }

  private Runnable write(ClientRequest.Attempt attempt, FakeInstance instance, Term term) {
    String write = attempt.request().id();
    if (!instance.canWrite()) {
      return () ->
          attempt.succeed(
              () ->
                  simulation.recordExplanation(vm, write + " was refused by a read-only endpoint"));
    }
    instance.append(write);
    simulation.oracle().recordRun(write);
    Position commit = new Position(term, instance.received().log());
    return () -> awaitConfirmation(attempt, commit);
  }

  private void awaitConfirmation(ClientRequest.Attempt attempt, Position commit) {
    Instant deadline = simulation.now().plus(CONFIRMATION_TIMEOUT);
    tracker.await(commit, deadline).thenAccept(result -> completeWrite(attempt, result));
  }

  private void completeWrite(ClientRequest.Attempt attempt, Either<Failure, Position> result) {
    if (result.isLeft()) {
      attempt.fail(result.getLeft());
      return;
    }
    ClientRequest request = attempt.request();
    positions.recordAcknowledgedWrite(new SessionId(request.session()), result.get());
    attempt.succeed(
        () ->
            simulation
                .oracle()
                .recordAcknowledgement(request.session(), request.id(), result.get()));
  }
}

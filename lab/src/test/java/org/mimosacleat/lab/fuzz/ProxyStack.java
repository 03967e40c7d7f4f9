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

/** The decisions of one proxy for one group, wired in the order of the proxy's group agent. */
final class ProxyStack {
  private static final Duration SILENCE = Duration.ofMillis(700);
  private static final Duration PAUSE = Duration.ofMillis(250);
  private static final Duration CONFIRMATION_TIMEOUT = Duration.ofMillis(1000);

  private final int number;
  private final World world;
  private final VmId vm;
  private final LeaseStateMachine lease;
  private final LeaseStatus leaseStatus;
  private final PromotionStateMachine promotion;
  private final AcknowledgementTracker tracker;
  private final SessionPositions positions;
  private final GroupPicture picture;
  private final Router router;
  private final Deque<Runnable> inbox = new ArrayDeque<>();
  private final List<ClientRequest.Attempt> waiting = new ArrayList<>();
  private final List<ClientRequest.Attempt> open = new ArrayList<>();
  private Instant lastHeard;
  private Instant lastTick;
  private Instant nextTakeOver = Instant.MIN;
  private boolean held;
  private boolean serving;
  private boolean findingRow;
  private boolean up = true;
  private boolean paused;

  ProxyStack(int number, World world, Decisions decisions) {
    this.number = number;
    this.world = world;
    this.vm = world.vm(number);
    this.lastHeard = world.now();
    this.lastTick = world.now();
    AvailabilityZone zone = world.zone(number);
    this.lease =
        new LeaseStateMachine(
            vm, world.group(), world.clock(), LeaseTimes.STANDARD, world::nextWriteId);
    this.leaseStatus = decisions.lease(world.clock(), lease::rights);
    this.promotion =
        new FencingPromotionStateMachine(
            vm, zone, world.clock(), leaseStatus, world.random(), PromotionSettings.ENDPOINT_LEASE);
    TermMembership unknown = new TermMembership(new Term(0), world.endpoint(0), world.members());
    this.tracker = decisions.tracker(world.clock(), leaseStatus, unknown);
    this.positions = decisions.positions();
    this.picture = new GroupPicture(world.unseenGroup());
    this.router = decisions.router(world.clock(), world.random(), zone);
  }

  boolean isUp() {
    return up;
  }

  boolean isPaused() {
    return paused;
  }

  boolean isServing() {
    return serving && lease.rights().isHome(world.now());
  }

  Optional<EndpointId> primary() {
    return picture.snapshot().primary();
  }

  void pause() {
    paused = true;
  }

  void resume() {
    paused = false;
    drainInbox();
  }

  /** Dies: callers lose their connections, and nothing that arrives later is taken in. */
  void kill() {
    up = false;
    for (ClientRequest.Attempt attempt : List.copyOf(open)) {
      attempt.fail(new Failure(ErrorKind.CONNECTION_LOST, vm + " died"));
    }
  }

  void post(Runnable input) {
    if (!up) {
      return;
    }
    inbox.add(input);
    drainInbox();
  }

  void heartbeat() {
    if (!paused) {
      lastHeard = world.now();
    }
  }

  void tick() {
    if (!up || paused) {
      return;
    }
    noticePause();
    step(new LeaseInput.Tick());
    followRights();
    step(new PromotionInput.Tick());
    tracker.tick();
    noticeLoss();
    if (lease.holds()) {
      world.heartbeat(this);
    }
    if (serving) {
      world.leaving().forEach(this::leaving);
      world.instances().forEach(this::poll);
    } else {
      seek();
    }
    retryWaiting();
  }

  /** Acts on a suspicion that the home is lost, right or wrong. */
  void acquire() {
    if (up && !paused && !lease.holds()) {
      step(new LeaseInput.Acquire("suspected", world.otherVms(number), world.members()));
    }
  }

  void handOver() {
    if (up && !paused && lease.holds()) {
      int next = (number + 1) % World.PROXIES;
      step(new LeaseInput.HandOver(world.vm(next), world.otherVms(next)));
      followRights();
    }
  }

  void receiveHandOver(LeaseAction.NotifyNextHome tell) {
    step(new LeaseInput.HandedOver(tell.row(), tell.expiredThrough()));
  }

  void start(ClientRequest.Attempt attempt) {
    if (!up) {
      attempt.fail(new Failure(ErrorKind.UNAVAILABLE, vm + " cannot be reached"));
      return;
    }
    open.add(attempt);
    post(() -> route(attempt));
  }

  private void drainInbox() {
    while (up && !paused && !inbox.isEmpty()) {
      inbox.poll().run();
    }
  }

  private void followRights() {
    LeaseRights rights = lease.rights();
    if (leaseStatus.isHeld() && !serving) {
      serving = true;
      findRow();
    } else if (serving && !rights.isHome(world.now())) {
      serving = false;
      step(new PromotionInput.LeaseLost());
      primaryLost();
    }
    if (serving && findingRow) {
      findRow();
    }
  }

  private void findRow() {
    findingRow = true;
    world.send(
        new Message(
            this,
            new Channel.ToTable(),
            world.now(),
            () -> {
              var row = world.table().groupRow();
              return () -> {
                if (findingRow && serving) {
                  findingRow = false;
                  step(new PromotionInput.LeaseGained(row));
                }
              };
            },
            () -> {}));
  }

  /** After a pause nothing is known of the home, so that the silence counts from now on. */
  private void noticePause() {
    if (Duration.between(lastTick, world.now()).compareTo(PAUSE) > 0) {
      lastHeard = world.now();
    }
    lastTick = world.now();
  }

  /** Whoever took the home has to be known before this proxy may seek it again. */
  private void noticeLoss() {
    boolean lost = held && !lease.holds();
    held = lease.holds();
    if (lost) {
      lastHeard = world.now();
      nextTakeOver = world.now().plus(SILENCE);
      carryOut(new LeaseAction.ReadRow());
    }
  }

  private void seek() {
    Instant now = world.now();
    boolean isSilent = Duration.between(lastHeard, now).compareTo(SILENCE) > 0;
    if (lease.holds() || now.isBefore(nextTakeOver)) {
      return;
    }
    if (isSilent || lease.knownHome().equals(Optional.of(vm))) {
      nextTakeOver = now.plus(SILENCE.multipliedBy(number + 1L));
      acquire();
    }
  }

  private void leaving(EndpointId endpoint) {
    picture.leaving(endpoint);
    step(new PromotionInput.EndpointDraining(endpoint));
  }

  private void poll(FakeInstance instance) {
    Instant askedAt = world.now();
    world.send(
        new Message(
            this,
            new Channel.ToInstance(instance),
            askedAt,
            () -> {
              PollResponse answer = instance.answer(askedAt);
              return () -> polled(answer);
            },
            () -> {
              picture.failed(instance.id());
              step(new PromotionInput.PollFailed(instance.id()));
            }));
  }

  private void polled(PollResponse answer) {
    picture.answered(answer);
    tracker.applyPollResponse(answer);
    step(new PromotionInput.PollAnswered(answer));
  }

  private void primaryLost() {
    tracker.suspend();
    picture.primaryLost();
  }

  private void step(LeaseInput input) {
    lease.step(input).forEach(this::carryOut);
  }

  private void step(PromotionInput input) {
    promotion.step(input).forEach(this::perform);
  }

  private void carryOut(LeaseAction action) {
    switch (action) {
      case LeaseAction.ReadRow() ->
          askTable(
              () -> {
                var row = world.table().leaseRow();
                return () -> step(new LeaseInput.RowRead(row));
              },
              () -> step(new LeaseInput.StoreTimedOut()));
      case LeaseAction.WriteRow write ->
          askTable(
              () -> {
                boolean applied = world.table().write(write);
                return () ->
                    step(
                        applied
                            ? new LeaseInput.WriteApplied(write.row().writeId())
                            : new LeaseInput.WriteRefused(write.row().writeId()));
              },
              () -> step(new LeaseInput.StoreTimedOut()));
      case LeaseAction.Fence fence -> acceptToken(fence);
      case LeaseAction.NotifyNextHome tell -> world.tell(this, tell);
      case LeaseAction.LogDecision explain -> world.explain(vm, explain.explanation());
    }
  }

  private void acceptToken(LeaseAction.Fence fence) {
    FakeInstance instance = world.instance(fence.endpoint());
    Instant sentAt = world.now();
    ask(
        instance,
        () -> {
          instance.accept(fence.token());
          LeaseInput.FenceAnswered answer =
              new LeaseInput.FenceAnswered(
                  instance.id(), fence.token(), instance.token(), instance.previousToken(), sentAt);
          return () -> step(answer);
        },
        () -> {});
  }

  private void perform(PromotionAction action) {
    FencingToken token = lease.rights().token();
    switch (action) {
      case PromotionAction.Poll(EndpointId endpoint) -> poll(world.instance(endpoint));
      case PromotionAction.RequestPeerEvidence question -> world.askPeers(this, question);
      case PromotionAction.OfferHome offer -> handOver();
      case PromotionAction.WriteRow write ->
          askTable(
              () -> {
                boolean applied = world.table().write(write);
                return () ->
                    step(
                        applied
                            ? new PromotionInput.RowWritten(write.row().version())
                            : new PromotionInput.RowRefused(write.row().version()));
              },
              () -> {});
      case PromotionAction.ReadRow() ->
          askTable(
              () -> {
                var row = world.table().groupRow();
                return () -> step(new PromotionInput.RowRead(row));
              },
              () -> {});
      case PromotionAction.Fence fence -> fence(fence, token);
      case PromotionAction.SuspendService withdraw -> primaryLost();
      case PromotionAction.StartTerm start -> tracker.startTerm(start.membership());
      case PromotionAction.Promote promote -> promote(promote, token);
      case PromotionAction.Follow follow -> follow(follow, token);
      case PromotionAction.AnnouncePrimary announce -> announced(announce);
      case PromotionAction.LogDecision(String explanation) -> world.explain(vm, explanation);
    }
  }

  void evidence(AvailabilityZone zone, long round, boolean reachable) {
    step(new PromotionInput.EvidenceReceived(zone, round, reachable));
  }

  private void announced(PromotionAction.AnnouncePrimary announce) {
    world.oracle().announced(world.instance(announce.membership().primary()));
    tracker.startTerm(announce.membership());
    positions.setFloor(announce.position());
    picture.announced(announce.membership());
  }

  private void fence(PromotionAction.Fence fence, FencingToken token) {
    FakeInstance instance = world.instance(fence.endpoint());
    ask(
        instance,
        () -> {
          if (!instance.admits(token)) {
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
    FakeInstance instance = world.instance(promote.endpoint());
    Runnable failure =
        () -> step(new PromotionInput.PromoteFailed(promote.endpoint(), promote.term()));
    ask(
        instance,
        () -> {
          if (!instance.admits(token)) {
            return failure;
          }
          instance.promote();
          world.oracle().promoted(instance.term());
          Position start = instance.received();
          return () -> step(new PromotionInput.PromoteAnswered(instance.id(), start));
        },
        failure);
  }

  private void follow(PromotionAction.Follow follow, FencingToken token) {
    FakeInstance instance = world.instance(follow.endpoint());
    ask(
        instance,
        () -> {
          if (instance.admits(token)) {
            instance.follow(world.instance(follow.primary()));
          }
          return () -> {};
        },
        () -> {});
  }

  private void ask(
      FakeInstance instance, java.util.function.Supplier<Runnable> effect, Runnable failure) {
    world.send(new Message(this, new Channel.ToInstance(instance), world.now(), effect, failure));
  }

  private void askTable(java.util.function.Supplier<Runnable> effect, Runnable failure) {
    world.send(new Message(this, new Channel.ToTable(), world.now(), effect, failure));
  }

  private void retryWaiting() {
    List<ClientRequest.Attempt> again = List.copyOf(waiting);
    waiting.clear();
    again.forEach(this::route);
    for (ClientRequest.Attempt attempt : List.copyOf(open)) {
      boolean late = !world.now().isBefore(attempt.request().deadline());
      if (!attempt.isEnded() && attempt.isSent() && late) {
        attempt.fail(new Failure(ErrorKind.DEADLINE_AFTER_START, "no answer in time"));
      }
    }
    open.removeIf(ClientRequest.Attempt::isEnded);
  }

  private void route(ClientRequest.Attempt attempt) {
    if (!lease.rights().isHome(world.now())) {
      attempt.fail(new Failure(ErrorKind.NOT_HOME, vm + " is not the home"));
      return;
    }
    ClientRequest request = attempt.request();
    Optional<Position> required = positions.required(new SessionId(request.session()));
    RouteRequest question =
        new RouteRequest(
            request.isWrite() ? StatementKind.WRITE : StatementKind.READ,
            new Freshness.ReadYourWrites(required),
            request.issuedAt(),
            request.deadline());
    GroupRoutingState knowledge =
        new GroupRoutingState(
            picture.snapshot(), picture.history(), positions.highest(), leaseStatus.isHeld());
    switch (router.route(question, knowledge)) {
      case RouteDecision.ToPrimary(EndpointId endpoint) -> run(attempt, endpoint);
      case RouteDecision.ToReplica(EndpointId endpoint) -> run(attempt, endpoint);
      case RouteDecision.AwaitReplica wait -> waiting.add(attempt);
      case RouteDecision.AwaitPrimary wait -> waiting.add(attempt);
      case RouteDecision.Refuse(Failure failure) -> attempt.fail(failure);
    }
  }

  private void run(ClientRequest.Attempt attempt, EndpointId endpoint) {
    FakeInstance instance = world.instance(endpoint);
    FencingToken token = lease.rights().token();
    final Term term = picture.snapshot().term();
    if (!world.canConnect(instance) || !instance.admits(token)) {
      attempt.fail(new Failure(ErrorKind.UNAVAILABLE, endpoint + " cannot be reached"));
      return;
    }
    attempt.markSent();
    world.oracle().sent(endpoint, world.now());
    Runnable lost = () -> attempt.fail(new Failure(world.decisions().unanswered(), "no answer"));
    ask(
        instance,
        () -> {
          if (!instance.admits(token)) {
            return lost;
          }
          return attempt.request().isWrite()
              ? write(attempt, instance, term)
              : read(attempt, instance);
        },
        lost);
  }

  private Runnable read(ClientRequest.Attempt attempt, FakeInstance instance) {
    Set<String> seen = instance.visible();
    ClientRequest request = attempt.request();
    return () ->
        attempt.succeed(
            () -> world.oracle().answeredRead(request.session(), request.required(), seen));
  }

  private Runnable write(ClientRequest.Attempt attempt, FakeInstance instance, Term term) {
    String write = attempt.request().id();
    if (!instance.canWrite()) {
      return () ->
          attempt.succeed(() -> world.explain(vm, write + " was refused by a read-only endpoint"));
    }
    instance.append(write);
    world.oracle().ran(write);
    Position commit = new Position(term, instance.received().log());
    return () -> confirm(attempt, commit);
  }

  private void confirm(ClientRequest.Attempt attempt, Position commit) {
    Instant limit = world.now().plus(CONFIRMATION_TIMEOUT);
    tracker.await(commit, limit).thenAccept(result -> confirmed(attempt, result));
  }

  private void confirmed(ClientRequest.Attempt attempt, Either<Failure, Position> result) {
    if (result.isLeft()) {
      attempt.fail(result.getLeft());
      return;
    }
    ClientRequest request = attempt.request();
    positions.recordAcknowledgedWrite(new SessionId(request.session()), result.get());
    attempt.succeed(
        () -> world.oracle().acknowledged(request.session(), request.id(), result.get()));
  }
}

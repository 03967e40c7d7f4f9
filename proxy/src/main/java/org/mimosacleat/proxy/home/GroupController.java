package org.mimosacleat.proxy.home;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Collectors;
import org.mimosacleat.core.drain.EndpointDrain;
import org.mimosacleat.core.drain.EndpointDrainAction;
import org.mimosacleat.core.drain.EndpointDrainInput;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.group.GroupSnapshot;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.lease.LeaseInput;
import org.mimosacleat.core.lease.LeaseRights;
import org.mimosacleat.core.membership.HomeMonitorTimes;
import org.mimosacleat.core.placement.HomeDecision;
import org.mimosacleat.core.placement.HomePolicy;
import org.mimosacleat.core.promotion.PromotionInput;
import org.mimosacleat.core.status.GroupStatus;
import org.mimosacleat.proxy.concurrent.Mailbox;
import org.mimosacleat.wire.fleet.HomeMessage;
import org.mimosacleat.wire.peer.BatchAnswer;
import org.mimosacleat.wire.peer.BatchRequest;

/**
 * Controls one group on one proxy: acquires the lease when this VM should be the home, serves
 * requests while it holds the lease, and monitors the home while another VM holds it. Decisions are
 * made on the mailbox thread; {@link #execute} may be called from any thread.
 */
final class GroupController implements EndpointMonitorListener, AutoCloseable {
  private static final Duration TICK_INTERVAL = Duration.ofMillis(25);
  private static final Duration ROW_REFRESH_INTERVAL = Duration.ofSeconds(2);
  private static final Duration MEMBERSHIP_SETTLE_TIME = Duration.ofSeconds(10);
  private static final Duration TRANSACTION_GRACE_PERIOD = Duration.ofSeconds(10);

  private final GroupId group;
  private final HomeContext context;
  private final GroupResources resources;
  private final GroupHome groupHome;
  private final Mailbox mailbox;
  private final LeaseController leaseController;
  private final PromotionController promotionController;
  private final HomeFailureMonitor homeFailureMonitor;
  private final ReachabilityResponder reachabilityResponder;
  private final AtomicReference<Optional<HandOver>> handOver =
      new AtomicReference<>(Optional.empty());
  private final AtomicInteger batchesInFlight = new AtomicInteger();
  private final HomePolicy homePolicy;
  private final EndpointDrain endpointDrain = new EndpointDrain();
  private Instant nextHeartbeatAt = Instant.MIN;
  private Instant nextRowRefreshAt = Instant.MIN;
  private Instant nextAcquireAt = Instant.MIN;
  private boolean serving;
  private boolean heldLeaseAtLastTick;

  GroupController(GroupId group, HomeContext context, GroupResourcesFactory factory) {
    this.group = group;
    this.context = context;
    this.homePolicy = new HomePolicy(context.self(), MEMBERSHIP_SETTLE_TIME);
    this.mailbox = new Mailbox(TICK_INTERVAL, this::tick);
    this.resources = factory.createResources(this, this::holdsLease);
    this.leaseController = new LeaseController(group, context, resources, mailbox);
    this.promotionController =
        new PromotionController(
            group,
            context,
            resources,
            mailbox,
            leaseController,
            this::holdsLease,
            this::endService);
    this.groupHome = factory.createHome(resources);
    this.homeFailureMonitor = new HomeFailureMonitor(group, context);
    this.reachabilityResponder = new ReachabilityResponder(group, context, resources);
  }

  void start() {
    resources.monitors().start(context.executor());
    mailbox.start(context.executor());
  }

  /** Runs one batch if this VM is the home, and waits for its answer. */
  Either<Failure, BatchAnswer> execute(BatchRequest request, RunningBatch batch) {
    batchesInFlight.incrementAndGet();
    try {
      boolean accepted =
          leaseController.rights().isHome(context.clock().instant())
              && handOver.get().map(plan -> plan.accepts(request)).orElse(true);
      return accepted ? groupHome.execute(request, batch) : notHome();
    } finally {
      batchesInFlight.decrementAndGet();
    }
  }

  private Either<Failure, BatchAnswer> notHome() {
    return Either.left(
        new Failure(ErrorKind.NOT_HOME, context.self() + " is not the home of group " + group));
  }

  GroupResources resources() {
    return resources;
  }

  GroupStatus status() {
    GroupSnapshot snapshot = resources.state().snapshot();
    return new GroupStatus(
        group,
        snapshot.term(),
        snapshot.primary(),
        candidates(),
        leaseController.rights().token().number());
  }

  LeaseRights rights() {
    return leaseController.rights();
  }

  /** Starts to hand the home over to the next candidate, because this VM is about to stop. */
  void handOver() {
    mailbox.post(
        () ->
            candidates().stream()
                .filter(vm -> !vm.equals(context.self()))
                .findFirst()
                .ifPresent(this::beginHandOver));
  }

  /** Enqueues a message from another proxy; does not block. */
  void receive(VmId sender, HomeMessage message) {
    mailbox.post(() -> handleMessage(sender, message));
  }

  /** Applies the platform's list of leaving endpoints. */
  void updateLeavingEndpoints(Instant askedAt, Set<EndpointId> leaving) {
    Set<EndpointId> ownLeaving =
        resources.members().stream().filter(leaving::contains).collect(Collectors.toSet());
    mailbox.post(
        () -> {
          endpointDrain
              .step(new EndpointDrainInput.ListRead(ownLeaving, askedAt))
              .forEach(this::carryOutDrain);
          // Sent with each list: a promotion that could not start before may be able to start now.
          ownLeaving.forEach(
              endpoint -> promotionController.step(new PromotionInput.EndpointDraining(endpoint)));
        });
  }

  private void carryOutDrain(EndpointDrainAction action) {
    switch (action) {
      case EndpointDrainAction.CloseIdle(EndpointId endpoint) -> {
        resources.state().markLeaving(endpoint);
        resources.pools().get(endpoint).closeIdle();
        context.journal().add(group, endpoint + " is leaving: it receives no new requests");
      }
      case EndpointDrainAction.Resume(EndpointId endpoint) -> {
        resources.state().clearLeaving(endpoint);
        context
            .journal()
            .add(group, endpoint + " is no longer leaving: it receives requests again");
      }
      case EndpointDrainAction.Drained drained -> {
        // Requests in flight complete by themselves; the platform stops the endpoint.
      }
    }
  }

  @Override
  public void pollAnswered(EndpointStatus status) {
    resources.state().applyPollAnswer(status.answer());
    mailbox.post(() -> promotionController.step(new PromotionInput.PollAnswered(status.answer())));
  }

  @Override
  public void pollFailed(EndpointId endpoint, String reason) {
    resources.state().markSuspect(endpoint);
    mailbox.post(() -> promotionController.step(new PromotionInput.PollFailed(endpoint)));
  }

  @Override
  public void close() {
    mailbox.close();
    resources.close();
  }

  /**
   * Returns whether this VM may acknowledge writes: it is the home, and no earlier holder of the
   * lease can have any rights left.
   */
  private boolean holdsLease() {
    Instant now = context.clock().instant();
    LeaseRights rights = leaseController.rights();
    return rights.isHome(now) && !now.isBefore(rights.earlierHoldersExpiredAt());
  }

  private void tick() {
    leaseController.step(new LeaseInput.Tick());
    applyLeaseRights();
    promotionController.step(new PromotionInput.Tick());
    resources.state().tracker().tick();
    resources.slots().tick();
    resources.transactions().discardIdle(context.limitSettings().idleTransactionTimeout());
    detectLeaseLoss();
    if (leaseController.holdsLease()) {
      // Even before it serves: a new home waits longer for its predecessor's rights to end than the
      // other candidates wait for a heartbeat.
      sendHeartbeats();
    }
    if (serving) {
      applyHomePolicy(context.clock().instant());
      continueHandOver();
    } else {
      acquireLeaseOrMonitorHome();
    }
  }

  /**
   * Detects the loss of the lease. The row is then read again, and acquisition delayed, so that
   * this VM learns of a new holder before it tries to acquire the lease again.
   */
  private void detectLeaseLoss() {
    boolean lostLease = heldLeaseAtLastTick && !leaseController.holdsLease();
    heldLeaseAtLastTick = leaseController.holdsLease();
    if (lostLease) {
      nextRowRefreshAt = Instant.MIN;
      nextAcquireAt = context.clock().instant().plus(HomeMonitorTimes.STANDARD.silenceTimeout());
    }
  }

  private void beginHandOver(VmId to) {
    if (serving && handOver.get().isEmpty()) {
      Instant transactionDeadline = context.clock().instant().plus(TRANSACTION_GRACE_PERIOD);
      handOver.set(Optional.of(new HandOver(to, transactionDeadline)));
      context.journal().add(group, "preparing to hand the home over to " + to);
    }
  }

  private void continueHandOver() {
    handOver
        .get()
        .filter(
            plan ->
                plan.isReady(resources.transactions(), batchesInFlight, context.clock().instant()))
        .ifPresent(plan -> leaseController.handOver(plan.to()));
  }

  private void applyLeaseRights() {
    Instant now = context.clock().instant();
    LeaseRights rights = leaseController.rights();
    boolean canServe = holdsLease();
    if (canServe && !serving) {
      serving = true;
      homeFailureMonitor.reset();
      resources.useToken(rights.token());
      resources.monitors().resume();
      promotionController.leaseGained();
      context.journal().add(group, "serving as the home under token " + rights.token());
    } else if (serving && !rights.isHome(now)) {
      endService();
      promotionController.step(new PromotionInput.LeaseLost());
    }
  }

  /** Ends the service; it begins anew at the next tick at which the lease is held. */
  private void endService() {
    if (!serving) {
      return;
    }
    serving = false;
    handOver.set(Optional.empty());
    resources.state().endService();
    resources.releaseConnections();
    resources.monitors().suspend();
    context.journal().add(group, "no longer serving as the home: the lease has ended");
  }

  private void sendHeartbeats() {
    Instant now = context.clock().instant();
    if (now.isBefore(nextHeartbeatAt)) {
      return;
    }
    nextHeartbeatAt = now.plus(HomeMonitorTimes.STANDARD.heartbeatInterval());
    HomeMessage heartbeat = new HomeMessage.Heartbeat(group, leaseController.rights().token());
    candidates().stream()
        .filter(vm -> !vm.equals(context.self()))
        .forEach(vm -> context.messenger().send(vm, heartbeat));
  }

  private void acquireLeaseOrMonitorHome() {
    if (!candidates().contains(context.self()) || leaseController.holdsLease()) {
      return;
    }
    Instant now = context.clock().instant();
    if (!now.isBefore(nextRowRefreshAt)) {
      nextRowRefreshAt = now.plus(ROW_REFRESH_INTERVAL);
      leaseController.refreshRow();
      return;
    }
    applyHomePolicy(now);
    leaseController
        .knownHolder()
        .filter(holder -> !holder.equals(context.self()))
        .ifPresent(homeFailureMonitor::monitor);
  }

  private void applyHomePolicy(Instant now) {
    Optional<VmId> holder = leaseController.knownHolder();
    boolean holderIsLive =
        holder
            .filter(vm -> context.messenger().canBeHome(vm) && !homeFailureMonitor.isLost(vm))
            .isPresent();
    HomeDecision decision =
        homePolicy.decide(
            group,
            holder,
            leaseController.holdsLease(),
            holderIsLive,
            homeFailureMonitor.placement(),
            context.messenger().membershipStableFor());
    switch (decision) {
      case HomeDecision.NoChange() -> {
        // The home is live, or another VM should acquire the lease.
      }
      case HomeDecision.Acquire(String reason) -> {
        if (!now.isBefore(nextAcquireAt)) {
          nextAcquireAt = now.plus(HomeMonitorTimes.STANDARD.silenceTimeout());
          leaseController.acquire(reason);
        }
      }
      case HomeDecision.HandOver(VmId to) -> beginHandOver(to);
    }
  }

  private List<VmId> candidates() {
    return context.messenger().candidates(group);
  }

  private void handleMessage(VmId sender, HomeMessage message) {
    switch (message) {
      case HomeMessage.Heartbeat heartbeat -> homeFailureMonitor.receiveHeartbeat(sender);
      case HomeMessage.SilenceRequest request ->
          homeFailureMonitor.answerSilenceRequest(sender, request);
      case HomeMessage.SilenceResponse response ->
          homeFailureMonitor.receiveSilenceResponse(sender, response);
      case HomeMessage.ReachabilityRequest request ->
          context.executor().submit(() -> reachabilityResponder.respond(sender, request));
      case HomeMessage.ReachabilityResponse response ->
          promotionController.step(
              new PromotionInput.EvidenceReceived(
                  response.zone(), response.round(), response.reachable()));
      case HomeMessage.LeaseHandover handover ->
          leaseController.step(
              new LeaseInput.HandedOver(handover.row(), handover.expiredThrough()));
    }
  }
}

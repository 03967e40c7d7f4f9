package org.mimosacleat.proxy.home;

import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.lease.LeaseInput;
import org.mimosacleat.core.lease.LeaseRights;
import org.mimosacleat.core.membership.HomeWatch;
import org.mimosacleat.core.membership.HomeWatchAction;
import org.mimosacleat.core.membership.HomeWatchInput;
import org.mimosacleat.core.membership.HomeWatchTimes;
import org.mimosacleat.core.promotion.PromotionInput;
import org.mimosacleat.wire.fleet.HomeMessage;
import org.mimosacleat.wire.peer.WorkAnswer;
import org.mimosacleat.wire.peer.WorkRequest;

/**
 * One group on one proxy: it seeks the lease when this VM should be the home, serves while it holds
 * it, and watches the home while another VM does. All state lives behind the mailbox; {@link
 * #execute} may be called from any thread.
 */
final class GroupAgent implements WatchListener, AutoCloseable {
  private static final Duration TICK = Duration.ofMillis(25);
  private static final Duration ROW_REFRESH = Duration.ofSeconds(2);
  private static final int ZONES_TO_LOSE_HOME = 2;

  private final GroupId group;
  private final HomeContext context;
  private final GroupParts parts;
  private final GroupHome home;
  private final Mailbox mailbox;
  private final LeaseDriver lease;
  private final PromotionDriver promotion;
  private Optional<HomeWatch> watch = Optional.empty();
  private Optional<VmId> watched = Optional.empty();
  private Optional<VmId> lost = Optional.empty();
  private Instant nextHeartbeat = Instant.MIN;
  private Instant nextRefresh = Instant.MIN;
  private Instant nextTakeOver = Instant.MIN;
  private boolean serving;

  GroupAgent(GroupId group, HomeContext context, GroupPartsFactory factory) {
    this.group = group;
    this.context = context;
    this.mailbox = new Mailbox(TICK, this::tick);
    this.parts = factory.make(this, this::holdsLease);
    this.lease = new LeaseDriver(group, context, parts, mailbox);
    this.promotion = new PromotionDriver(group, context, parts, mailbox, lease, this::holdsLease);
    this.home = factory.home(parts);
  }

  void start() {
    parts.watchers().start(context.executor());
    mailbox.start(context.executor());
  }

  /** Runs one batch if this VM is the home, and waits for its answer. */
  Either<Failure, WorkAnswer> execute(WorkRequest request, WorkTicket ticket) {
    if (!lease.rights().isHome(context.clock().instant())) {
      return Either.left(
          new Failure(ErrorKind.NOT_HOME, context.self() + " is not the home of group " + group));
    }
    return home.execute(request, ticket);
  }

  GroupHome home() {
    return home;
  }

  GroupParts parts() {
    return parts;
  }

  LeaseRights rights() {
    return lease.rights();
  }

  /** Hands the home over to the next candidate; used when this VM is about to stop. */
  void handOver() {
    mailbox.post(
        () ->
            context.messenger().candidates(group).stream()
                .filter(vm -> !vm.equals(context.self()))
                .findFirst()
                .filter(vm -> lease.holds())
                .ifPresent(lease::handOver));
  }

  /** Takes in a message of another proxy; does not wait. */
  void received(VmId sender, HomeMessage message) {
    mailbox.post(() -> handle(sender, message));
  }

  @Override
  public void answered(EndpointStatus status) {
    parts.state().answered(status.answer());
    mailbox.post(() -> promotion.step(new PromotionInput.PollAnswered(status.answer())));
  }

  @Override
  public void failed(EndpointId endpoint, String reason) {
    parts.state().failed(endpoint);
    mailbox.post(() -> promotion.step(new PromotionInput.PollFailed(endpoint)));
  }

  @Override
  public void close() {
    mailbox.close();
    parts.close();
  }

  /** The lease counts for acknowledgements once no earlier holder can have any rights. */
  private boolean holdsLease() {
    Instant now = context.clock().instant();
    LeaseRights rights = lease.rights();
    return rights.isHome(now) && !now.isBefore(rights.earlierCeasedFrom());
  }

  private void tick() {
    lease.step(new LeaseInput.Tick());
    followRights();
    promotion.step(new PromotionInput.Tick());
    parts.state().tracker().tick();
    if (serving) {
      sendHeartbeats();
    } else {
      seekOrWatch();
    }
  }

  private void followRights() {
    Instant now = context.clock().instant();
    LeaseRights rights = lease.rights();
    boolean mayServe = holdsLease();
    if (mayServe && !serving) {
      serving = true;
      watch = Optional.empty();
      lost = Optional.empty();
      parts.useToken(rights.token());
      parts.watchers().resume();
      promotion.leaseGained();
      context.journal().add(group, "serving under token " + rights.token());
    } else if (serving && !rights.isHome(now)) {
      serving = false;
      promotion.step(new PromotionInput.LeaseLost());
      parts.state().primaryLost();
      parts.releaseAll();
      parts.watchers().suspend();
      context.journal().add(group, "not serving any more");
    }
  }

  private void sendHeartbeats() {
    Instant now = context.clock().instant();
    if (now.isBefore(nextHeartbeat)) {
      return;
    }
    nextHeartbeat = now.plus(HomeWatchTimes.STANDARD.heartbeat());
    HomeMessage heartbeat = new HomeMessage.Heartbeat(group, lease.rights().token());
    candidates().stream()
        .filter(vm -> !vm.equals(context.self()))
        .forEach(vm -> context.messenger().tell(vm, heartbeat));
  }

  private void seekOrWatch() {
    if (!candidates().contains(context.self()) || lease.holds()) {
      return;
    }
    Instant now = context.clock().instant();
    if (!now.isBefore(nextRefresh)) {
      nextRefresh = now.plus(ROW_REFRESH);
      lease.refresh();
      return;
    }
    Optional<VmId> holder = lease.knownHolder();
    boolean needsHome =
        holder.isEmpty() || holder.equals(lost) || holder.get().equals(context.self());
    if (needsHome) {
      seek(now, holder);
      return;
    }
    watchHolder(holder.get());
  }

  private void seek(Instant now, Optional<VmId> holder) {
    Optional<VmId> successor =
        candidates().stream().filter(vm -> !Optional.of(vm).equals(lost)).findFirst();
    boolean isNamed = holder.filter(context.self()::equals).isPresent();
    boolean isFirst = successor.filter(context.self()::equals).isPresent();
    if ((isNamed || isFirst) && !now.isBefore(nextTakeOver)) {
      nextTakeOver = now.plus(HomeWatchTimes.STANDARD.silence());
      lease.acquire(
          holder.map(vm -> "its home " + vm + " does not serve").orElse("it has no home"));
    }
  }

  private void watchHolder(VmId holder) {
    if (!watched.equals(Optional.of(holder)) || watch.isEmpty()) {
      watched = Optional.of(holder);
      watch =
          Optional.of(
              new HomeWatch(
                  holder,
                  context.zone(),
                  Math.min(ZONES_TO_LOSE_HOME, candidates().size() - 1),
                  context.clock(),
                  HomeWatchTimes.STANDARD));
    }
    watch.get().step(new HomeWatchInput.Tick()).forEach(this::carryOut);
  }

  private void carryOut(HomeWatchAction action) {
    switch (action) {
      case HomeWatchAction.AskWatchers ask ->
          candidates().stream()
              .filter(vm -> !vm.equals(context.self()) && !vm.equals(ask.home()))
              .forEach(
                  vm ->
                      context
                          .messenger()
                          .tell(vm, new HomeMessage.SilenceQuestion(group, ask.home())));
      case HomeWatchAction.HomeLost homeLost -> {
        lost = Optional.of(homeLost.home());
        context
            .journal()
            .add(group, "home " + homeLost.home() + " is not heard in " + homeLost.zones());
      }
    }
  }

  private List<VmId> candidates() {
    return context.messenger().candidates(group);
  }

  private void handle(VmId sender, HomeMessage message) {
    switch (message) {
      case HomeMessage.Heartbeat heartbeat -> heard(sender);
      case HomeMessage.SilenceQuestion question -> answerSilence(sender, question);
      case HomeMessage.SilenceAnswer answer ->
          watch.ifPresent(
              known ->
                  known
                      .step(new HomeWatchInput.Answered(sender, answer.zone(), answer.silence()))
                      .forEach(this::carryOut));
      case HomeMessage.EvidenceQuestion question ->
          context.executor().submit(() -> giveEvidence(sender, question));
      case HomeMessage.EvidenceAnswer answer ->
          promotion.step(
              new PromotionInput.EvidenceReceived(
                  answer.zone(), answer.round(), answer.reachable()));
      case HomeMessage.HandedOver handedOver ->
          lease.step(new LeaseInput.HandedOver(handedOver.row(), handedOver.ceased()));
    }
  }

  private void heard(VmId sender) {
    if (lost.equals(Optional.of(sender))) {
      lost = Optional.empty();
    }
    if (watched.equals(Optional.of(sender))) {
      watch.ifPresent(known -> known.step(new HomeWatchInput.Heard()));
    }
  }

  private void answerSilence(VmId sender, HomeMessage.SilenceQuestion question) {
    if (watched.equals(Optional.of(question.home())) && watch.isPresent()) {
      context
          .messenger()
          .tell(
              sender,
              new HomeMessage.SilenceAnswer(
                  group, question.home(), context.zone(), watch.get().silence()));
    }
  }

  private void giveEvidence(VmId sender, HomeMessage.EvidenceQuestion question) {
    boolean reachable = isReachable(question.endpoint());
    context
        .messenger()
        .tell(
            sender,
            new HomeMessage.EvidenceAnswer(group, context.zone(), question.round(), reachable));
  }

  private boolean isReachable(EndpointId endpoint) {
    if (!parts.members().contains(endpoint)) {
      return false;
    }
    try (EndpointPoller poller =
        new EndpointPoller(
            parts.pools().get(endpoint).address(), context.clock(), context.monitor().timeout())) {
      poller.poll();
      return true;
    } catch (IOException unreachable) {
      return false;
    }
  }
}

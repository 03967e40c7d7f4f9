package org.mimosacleat.proxy.home;

import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import org.mimosacleat.core.acknowledgement.LeaseStatus;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.lease.FencingToken;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.core.promotion.FencingPromotionStateMachine;
import org.mimosacleat.core.promotion.GroupRow;
import org.mimosacleat.core.promotion.PromotionAction;
import org.mimosacleat.core.promotion.PromotionInput;
import org.mimosacleat.core.promotion.PromotionSettings;
import org.mimosacleat.core.promotion.PromotionStateMachine;
import org.mimosacleat.core.time.Sleeper;
import org.mimosacleat.proxy.concurrent.Mailbox;
import org.mimosacleat.proxy.store.GroupRowStore;
import org.mimosacleat.store.table.WriteResult;
import org.mimosacleat.wire.fleet.HomeMessage;

/**
 * Feeds the promotion machine of a group and carries out its actions. Use it from the mailbox only.
 */
final class PromotionDriver {
  private static final Duration FIND_INTERVAL = Duration.ofMillis(200);

  private final GroupId group;
  private final HomeContext context;
  private final GroupParts parts;
  private final Mailbox mailbox;
  private final LeaseDriver lease;
  private final GroupRowStore rows;
  private final GroupRowFinder finder;
  private final PromotionStateMachine machine;

  PromotionDriver(
      GroupId group,
      HomeContext context,
      GroupParts parts,
      Mailbox mailbox,
      LeaseDriver lease,
      LeaseStatus leaseStatus) {
    this.group = group;
    this.context = context;
    this.parts = parts;
    this.mailbox = mailbox;
    this.lease = lease;
    this.rows = new GroupRowStore(context.table(), context.tableTimeout());
    this.finder = new GroupRowFinder(group, context, parts, rows);
    this.machine =
        new FencingPromotionStateMachine(
            context.self(),
            context.zone(),
            context.clock(),
            leaseStatus,
            context.random(),
            PromotionSettings.ENDPOINT_LEASE);
  }

  void step(PromotionInput input) {
    machine.step(input).forEach(this::carryOut);
  }

  /** Starts to serve as the home: finds the group's row and takes it over. */
  void leaseGained() {
    inBackground(this::findRow);
  }

  /** Too few endpoints may answer at first, so it asks for as long as this VM is the home. */
  private void findRow() {
    while (lease.rights().isHome(context.clock().instant())) {
      Optional<GroupRow> row = finder.find();
      if (row.isPresent()) {
        post(new PromotionInput.LeaseGained(row.get()));
        return;
      }
      Sleeper.SYSTEM.sleep(FIND_INTERVAL);
    }
  }

  private void carryOut(PromotionAction action) {
    FencingToken token = lease.rights().token();
    switch (action) {
      case PromotionAction.Poll(EndpointId endpoint) -> parts.watchers().poke(endpoint);
      case PromotionAction.RequestPeerEvidence ask -> askPeers(ask);
      case PromotionAction.OfferHome(AvailabilityZone zone) -> offerHome(zone);
      case PromotionAction.WriteRow write -> inBackground(() -> write(write));
      case PromotionAction.ReadRow() -> inBackground(this::read);
      case PromotionAction.Fence fence -> inBackground(() -> fence(fence, token));
      case PromotionAction.SuspendService withdraw -> parts.state().primaryLost();
      case PromotionAction.StartTerm start -> parts.state().tracker().startTerm(start.membership());
      case PromotionAction.Promote promote -> inBackground(() -> promote(promote, token));
      case PromotionAction.Follow follow -> inBackground(() -> follow(follow, token));
      case PromotionAction.AnnouncePrimary announce -> {
        parts.state().announced(announce.membership(), announce.position());
        context
            .journal()
            .add(
                group,
                announce.membership().primary()
                    + " is the primary of term "
                    + announce.membership().term()
                    + " from "
                    + announce.position());
      }
      case PromotionAction.LogDecision(String explanation) ->
          context.journal().add(group, explanation);
    }
  }

  private void inBackground(Runnable call) {
    context.executor().submit(call);
  }

  private void post(PromotionInput input) {
    mailbox.post(() -> step(input));
  }

  private void askPeers(PromotionAction.RequestPeerEvidence ask) {
    HomeMessage question = new HomeMessage.EvidenceQuestion(group, ask.endpoint(), ask.round());
    context
        .messenger()
        .witnesses(context.zone())
        .forEach(peer -> context.messenger().tell(peer, question));
  }

  private void offerHome(AvailabilityZone zone) {
    context.messenger().inZone(zone).stream().findFirst().ifPresent(lease::handOver);
  }

  private void write(PromotionAction.WriteRow write) {
    switch (rows.write(write.row(), write.expected())) {
      case WriteResult.Applied applied ->
          post(new PromotionInput.RowWritten(write.row().version()));
      case WriteResult.ConditionFailed failed ->
          post(new PromotionInput.RowRefused(write.row().version()));
      case WriteResult.NotSent notSent -> {
        // The machine asks again after its retry interval.
      }
      case WriteResult.Unknown unknown -> {
        // The machine writes again with the same version, or reads it back.
      }
    }
  }

  private void read() {
    Either<Failure, Optional<GroupRow>> row = rows.read(group);
    if (row.isRight() && row.get().isPresent()) {
      post(new PromotionInput.RowRead(row.get().get()));
    }
  }

  private void fence(PromotionAction.Fence fence, FencingToken token) {
    try {
      post(administrator(fence.endpoint()).fence(fence.term(), token));
    } catch (IOException unreachable) {
      context.journal().add(group, "fence of " + fence.endpoint() + ": " + text(unreachable));
    }
  }

  private void promote(PromotionAction.Promote promote, FencingToken token) {
    try {
      post(administrator(promote.endpoint()).promote(token));
    } catch (IOException failed) {
      Term term = promote.term();
      context.journal().add(group, "promotion of " + promote.endpoint() + ": " + text(failed));
      post(new PromotionInput.PromoteFailed(promote.endpoint(), term));
    }
  }

  private void follow(PromotionAction.Follow follow, FencingToken token) {
    try {
      administrator(follow.endpoint()).follow(parts.pools().get(follow.primary()).address(), token);
    } catch (IOException unreachable) {
      // The machine asks again until the endpoint follows.
      return;
    }
  }

  private EndpointAdministrator administrator(EndpointId endpoint) {
    return parts.administrators().get(endpoint);
  }

  private static String text(IOException failed) {
    return String.valueOf(failed.getMessage());
  }
}

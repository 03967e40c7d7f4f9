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
 * Passes inputs to the promotion state machine of a group and carries out its actions. Must be
 * called on the mailbox thread only.
 */
final class PromotionController {
  private static final Duration ROW_LOAD_RETRY_INTERVAL = Duration.ofMillis(200);

  private final GroupId group;
  private final HomeContext context;
  private final GroupResources resources;
  private final Mailbox mailbox;
  private final LeaseController leaseController;
  private final GroupRowStore rows;
  private final GroupRowLoader rowLoader;
  private final PromotionStateMachine machine;
  private final Runnable serviceEndListener;

  PromotionController(
      GroupId group,
      HomeContext context,
      GroupResources resources,
      Mailbox mailbox,
      LeaseController leaseController,
      LeaseStatus leaseStatus,
      Runnable serviceEndListener) {
    this.serviceEndListener = serviceEndListener;
    this.group = group;
    this.context = context;
    this.resources = resources;
    this.mailbox = mailbox;
    this.leaseController = leaseController;
    this.rows = new GroupRowStore(context.tableService(), context.tableTimeout());
    this.rowLoader = new GroupRowLoader(group, context, resources, rows);
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

  /** Loads the group's row in the background and passes it to the promotion state machine. */
  void leaseGained() {
    inBackground(this::loadRow);
  }

  /** Retries while this VM is the home, since too few endpoints may answer at first. */
  private void loadRow() {
    while (leaseController.rights().isHome(context.clock().instant())) {
      Optional<GroupRow> row = rowLoader.load();
      if (row.isPresent()) {
        post(new PromotionInput.LeaseGained(row.get()));
        return;
      }
      Sleeper.SYSTEM.sleep(ROW_LOAD_RETRY_INTERVAL);
    }
  }

  private void carryOut(PromotionAction action) {
    FencingToken token = leaseController.rights().token();
    switch (action) {
      case PromotionAction.Poll(EndpointId endpoint) -> resources.monitors().pollNow(endpoint);
      case PromotionAction.RequestPeerEvidence request -> requestPeerEvidence(request);
      case PromotionAction.OfferHome(AvailabilityZone zone) -> offerHome(zone);
      case PromotionAction.WriteRow write -> inBackground(() -> write(write));
      case PromotionAction.ReadRow() -> inBackground(this::read);
      case PromotionAction.Fence fence -> inBackground(() -> fence(fence, token));
      case PromotionAction.SuspendService suspend -> resources.state().clearPrimary();
      case PromotionAction.EndService end -> serviceEndListener.run();
      case PromotionAction.StartTerm start ->
          resources.state().tracker().startTerm(start.membership());
      case PromotionAction.Promote promote -> inBackground(() -> promote(promote, token));
      case PromotionAction.Follow follow -> inBackground(() -> follow(follow, token));
      case PromotionAction.AnnouncePrimary announce -> {
        resources.state().setPrimary(announce.membership(), announce.position());
        context
            .journal()
            .add(
                group,
                announce.membership().primary()
                    + " is the primary of term "
                    + announce.membership().term()
                    + " from position "
                    + announce.position());
      }
      case PromotionAction.LogDecision(String explanation) ->
          context.journal().add(group, explanation);
    }
  }

  private void inBackground(Runnable task) {
    context.executor().submit(task);
  }

  private void post(PromotionInput input) {
    mailbox.post(() -> step(input));
  }

  private void requestPeerEvidence(PromotionAction.RequestPeerEvidence action) {
    HomeMessage request =
        new HomeMessage.ReachabilityRequest(group, action.endpoint(), action.round());
    context
        .messenger()
        .oneVmPerOtherZone(context.zone())
        .forEach(peer -> context.messenger().send(peer, request));
  }

  private void offerHome(AvailabilityZone zone) {
    context.messenger().liveVmsInZone(zone).stream()
        .findFirst()
        .ifPresent(leaseController::handOver);
  }

  private void write(PromotionAction.WriteRow write) {
    switch (rows.write(write.row(), write.expected())) {
      case WriteResult.Applied applied ->
          post(new PromotionInput.RowWritten(write.row().version()));
      case WriteResult.ConditionFailed failed ->
          post(new PromotionInput.RowRefused(write.row().version()));
      case WriteResult.NotSent notSent -> {
        // The promotion state machine writes again after its retry interval.
      }
      case WriteResult.Unknown unknown -> {
        // The promotion state machine writes the same version again, or reads the row back.
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
      context
          .journal()
          .add(group, "could not fence " + fence.endpoint() + ": " + messageOf(unreachable));
    }
  }

  private void promote(PromotionAction.Promote promote, FencingToken token) {
    try {
      post(administrator(promote.endpoint()).promote(token));
    } catch (IOException failed) {
      Term term = promote.term();
      context
          .journal()
          .add(
              group,
              "promotion of " + promote.endpoint() + " did not complete: " + messageOf(failed));
      post(new PromotionInput.PromoteFailed(promote.endpoint(), term));
    }
  }

  private void follow(PromotionAction.Follow follow, FencingToken token) {
    try {
      administrator(follow.endpoint())
          .follow(resources.pools().get(follow.primary()).address(), token);
    } catch (IOException unreachable) {
      // The promotion state machine repeats the action until the endpoint follows.
      return;
    }
  }

  private EndpointAdministrator administrator(EndpointId endpoint) {
    return resources.administrators().get(endpoint);
  }

  private static String messageOf(IOException failed) {
    return String.valueOf(failed.getMessage());
  }
}

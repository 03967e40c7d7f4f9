package org.mimosacleat.proxy.home;

import io.vavr.control.Either;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.lease.LeaseAction;
import org.mimosacleat.core.lease.LeaseInput;
import org.mimosacleat.core.lease.LeaseRights;
import org.mimosacleat.core.lease.LeaseRow;
import org.mimosacleat.core.lease.LeaseStateMachine;
import org.mimosacleat.core.lease.LeaseTimes;
import org.mimosacleat.core.lease.WriteId;
import org.mimosacleat.proxy.concurrent.Mailbox;
import org.mimosacleat.proxy.store.LeaseRowStore;
import org.mimosacleat.store.table.WriteResult;
import org.mimosacleat.wire.fleet.HomeMessage;

/**
 * Passes inputs to the lease state machine of a group and carries out its actions. Unless stated
 * otherwise, methods must be called on the mailbox thread.
 */
final class LeaseController {
  private final GroupId group;
  private final HomeContext context;
  private final GroupResources resources;
  private final Mailbox mailbox;
  private final LeaseRowStore rows;
  private final LeaseStateMachine machine;

  LeaseController(GroupId group, HomeContext context, GroupResources resources, Mailbox mailbox) {
    this.group = group;
    this.context = context;
    this.resources = resources;
    this.mailbox = mailbox;
    this.rows = new LeaseRowStore(context.tableService(), context.tableTimeout());
    this.machine =
        new LeaseStateMachine(
            context.self(),
            group,
            context.clock(),
            LeaseTimes.STANDARD,
            LeaseController::newWriteId);
  }

  /** Returns what the lease allows this VM to do; may be called from any thread. */
  LeaseRights rights() {
    return machine.rights();
  }

  Optional<VmId> knownHolder() {
    return machine.knownHome();
  }

  boolean holdsLease() {
    return machine.holds();
  }

  void step(LeaseInput input) {
    machine.step(input).forEach(this::carryOut);
  }

  /** Starts to read the lease row, so that this VM learns which VM is the home. */
  void refreshRow() {
    carryOut(new LeaseAction.ReadRow());
  }

  void acquire(String reason) {
    step(new LeaseInput.Acquire(reason, successorsOf(context.self()), resources.members()));
  }

  void handOver(VmId to) {
    step(new LeaseInput.HandOver(to, successorsOf(to)));
  }

  private List<VmId> successorsOf(VmId home) {
    return context.messenger().candidates(group).stream().filter(vm -> !vm.equals(home)).toList();
  }

  private void carryOut(LeaseAction action) {
    switch (action) {
      case LeaseAction.ReadRow() -> inBackground(this::read);
      case LeaseAction.WriteRow write -> inBackground(() -> write(write));
      case LeaseAction.Fence fence -> inBackground(() -> fence(fence));
      case LeaseAction.NotifyNextHome notification ->
          context
              .messenger()
              .send(
                  notification.to(),
                  new HomeMessage.LeaseHandover(notification.row(), notification.expiredThrough()));
      case LeaseAction.LogDecision decision -> context.journal().add(group, decision.explanation());
    }
  }

  private void inBackground(Runnable task) {
    context.executor().submit(task);
  }

  private void post(LeaseInput input) {
    mailbox.post(() -> step(input));
  }

  private void read() {
    Either<Failure, Optional<LeaseRow>> row = rows.read(group);
    post(row.isRight() ? new LeaseInput.RowRead(row.get()) : new LeaseInput.StoreTimedOut());
  }

  private void write(LeaseAction.WriteRow write) {
    WriteId writeId = write.row().writeId();
    post(
        switch (rows.write(write)) {
          case WriteResult.Applied applied -> new LeaseInput.WriteApplied(writeId);
          case WriteResult.ConditionFailed failed -> new LeaseInput.WriteRefused(writeId);
          case WriteResult.NotSent notSent -> new LeaseInput.StoreTimedOut();
          case WriteResult.Unknown unknown -> new LeaseInput.StoreTimedOut();
        });
  }

  private void fence(LeaseAction.Fence fence) {
    try {
      post(resources.administrators().get(fence.endpoint()).acceptToken(fence.token()));
    } catch (IOException unreachable) {
      // The lease machine repeats the fence at its next renewal.
      return;
    }
  }

  private static WriteId newWriteId() {
    return new WriteId(UUID.randomUUID().toString());
  }
}

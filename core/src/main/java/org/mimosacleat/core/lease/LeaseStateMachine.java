package org.mimosacleat.core.lease;

import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;

/**
 * State machine that acquires, renews and hands over the lease of one group for one VM.
 *
 * <p>Call {@link #step} from one thread and execute the actions that it returns; {@link #rights}
 * may be read from any thread. The clock must be monotonic; it need not agree with those of other
 * VMs.
 *
 * <p>Work requires {@link LeaseRights}. They are granted by a majority of the group's endpoints,
 * each of which refuses lower tokens once it has accepted a higher one. A holder therefore keeps
 * its rights however long the table service is down, and a holder that was paused finds them
 * expired.
 */
public final class LeaseStateMachine {
  private final VmId self;
  private final GroupId group;
  private final InstantSource clock;
  private final LeaseTimes times;
  private final LeaseRowFactory rowFactory;
  private final AtomicReference<LeaseRights> rights = new AtomicReference<>(LeaseRights.NONE);

  private Optional<LeaseRow> knownRow = Optional.empty();
  private boolean isRowKnown;
  private Optional<LeaseInput.Acquire> requested = Optional.empty();
  private Optional<PendingWrite> pendingWrite = Optional.empty();
  private Optional<LeaseClaim> claim = Optional.empty();
  private FencingToken expiredThrough = FencingToken.NONE;
  private Instant nextRenewalAt = Instant.MIN;
  private Instant nextStoreRequestAt = Instant.MIN;

  /**
   * Creates a machine that does not hold the lease.
   *
   * @param writeIds returns a new unique id on each call
   */
  public LeaseStateMachine(
      VmId self, GroupId group, InstantSource clock, LeaseTimes times, Supplier<WriteId> writeIds) {
    this.self = self;
    this.group = group;
    this.clock = clock;
    this.times = times;
    this.rowFactory = new LeaseRowFactory(self, group, writeIds);
  }

  /** Returns what this VM may do for the group; thread-safe. */
  public LeaseRights rights() {
    return rights.get();
  }

  /** Returns the home as last known to this VM; call it only from the thread that calls step. */
  public Optional<VmId> knownHome() {
    return claim.isPresent() ? Optional.of(self) : knownRow.map(LeaseRow::holder);
  }

  /** Returns whether this VM claims the lease; call it only from the thread that calls step. */
  public boolean holds() {
    return claim.isPresent();
  }

  /** Processes one input and returns the actions to execute. */
  public List<LeaseAction> step(LeaseInput input) {
    List<LeaseAction> actions = new ArrayList<>();
    switch (input) {
      case LeaseInput.Tick() -> tick(actions);
      case LeaseInput.Acquire acquire -> acquire(acquire, actions);
      case LeaseInput.HandOver handOver -> handOver(handOver, actions);
      case LeaseInput.HandedOver handedOver -> acceptHandover(handedOver, actions);
      case LeaseInput.RowRead read -> rowRead(read.row(), actions);
      case LeaseInput.WriteApplied applied -> writeApplied(applied.writeId(), actions);
      case LeaseInput.WriteRefused refused -> writeRefused(refused.writeId(), actions);
      case LeaseInput.StoreTimedOut() -> storeUnanswered(actions);
      case LeaseInput.FenceAnswered answer -> fenceAnswered(answer, actions);
    }
    return actions;
  }

  private void tick(List<LeaseAction> actions) {
    Instant now = clock.instant();
    if (claim.isPresent() && !now.isBefore(nextRenewalAt)) {
      fenceAll(actions);
    }
    boolean hasOpenRequest = pendingWrite.isPresent() || requested.isPresent();
    if (hasOpenRequest && !now.isBefore(nextStoreRequestAt)) {
      requestFromStore(new LeaseAction.ReadRow(), actions);
    }
  }

  private void acquire(LeaseInput.Acquire acquire, List<LeaseAction> actions) {
    if (pendingWrite.isPresent()) {
      return;
    }
    requested = Optional.of(acquire);
    if (isRowKnown) {
      sendWrite(rowFactory.takeoverWrite(knownRow, claim, acquire), actions);
    } else {
      requestFromStore(new LeaseAction.ReadRow(), actions);
    }
  }

  private void handOver(LeaseInput.HandOver handOver, List<LeaseAction> actions) {
    boolean ownsRow = knownRow.map(LeaseRow::holder).filter(self::equals).isPresent();
    if (claim.isEmpty() || pendingWrite.isPresent() || !ownsRow) {
      actions.add(
          new LeaseAction.LogDecision(
              "cannot hand over "
                  + group
                  + ": this VM is not its home, or a write of its row is pending"));
      return;
    }
    requested = Optional.empty();
    expiredThrough = claim.get().expiredThroughOnRelease(clock.instant());
    endClaim("handing over to " + handOver.to(), actions);
    sendWrite(
        rowFactory.handoverWrite(knownRow.get(), handOver.to(), handOver.successors()), actions);
  }

  private void acceptHandover(LeaseInput.HandedOver handedOver, List<LeaseAction> actions) {
    LeaseRow row = handedOver.row();
    boolean isOlder = knownRow.filter(own -> own.token().isAfter(row.token())).isPresent();
    Optional<FencingToken> token =
        row.holder().equals(self) ? Optional.of(row.token()) : row.reservedFor(self);
    if (isOlder || token.isEmpty() || claim.isPresent()) {
      return;
    }
    knownRow = Optional.of(row);
    isRowKnown = true;
    pendingWrite = Optional.empty();
    requested =
        row.holder().equals(self)
            ? Optional.empty()
            : Optional.of(
                new LeaseInput.Acquire("confirm the hand-over", List.of(), row.endpoints()));
    LeaseClaim next =
        new LeaseClaim(token.get(), row.endpoints(), Set.of(), handedOver.expiredThrough());
    startClaim(next, "handed over by the previous home", actions);
  }

  private void rowRead(Optional<LeaseRow> row, List<LeaseAction> actions) {
    if (isOlderThanKnown(row)) {
      return;
    }
    Optional<PendingWrite> unresolved = pendingWrite;
    if (unresolved.isPresent() && unresolved.get().canStillApply(row)) {
      sendWrite(unresolved.get(), actions);
      return;
    }
    pendingWrite = Optional.empty();
    if (unresolved.isPresent() && unresolved.get().hasProduced(row)) {
      onWriteApplied(unresolved.get(), actions);
      return;
    }
    updateKnownRow(row, actions);
    if (unresolved.isPresent() && claim.isEmpty()) {
      requested = Optional.empty();
    }
    requested.ifPresent(
        acquire -> sendWrite(rowFactory.takeoverWrite(knownRow, claim, acquire), actions));
  }

  private boolean isOlderThanKnown(Optional<LeaseRow> row) {
    if (knownRow.isEmpty()) {
      return false;
    }
    return row.isEmpty() || knownRow.get().token().isAfter(row.get().token());
  }

  private void updateKnownRow(Optional<LeaseRow> row, List<LeaseAction> actions) {
    knownRow = row;
    isRowKnown = true;
    boolean replaced =
        claim.isPresent() && row.isPresent() && row.get().token().isAfter(claim.get().token());
    if (replaced) {
      endClaim("the row names " + row.get().holder() + " with token " + row.get().token(), actions);
    }
  }

  private void writeApplied(WriteId writeId, List<LeaseAction> actions) {
    if (pendingWrite.isEmpty() || !pendingWrite.get().row().writeId().equals(writeId)) {
      return;
    }
    PendingWrite write = pendingWrite.get();
    pendingWrite = Optional.empty();
    onWriteApplied(write, actions);
  }

  private void onWriteApplied(PendingWrite write, List<LeaseAction> actions) {
    LeaseRow row = write.row();
    knownRow = Optional.of(row);
    isRowKnown = true;
    if (!row.holder().equals(self)) {
      actions.add(new LeaseAction.NotifyNextHome(row.holder(), row, expiredThrough));
      return;
    }
    String reason =
        requested
            .map(LeaseInput.Acquire::reason)
            .orElse("the row shows that a write of this VM took effect");
    requested = Optional.empty();
    if (claim.map(LeaseClaim::token).filter(row.token()::equals).isPresent()) {
      return;
    }
    Set<EndpointId> earlier = write.replaced().map(LeaseRow::endpoints).orElse(Set.of());
    FencingToken expiredThroughBefore =
        claim
            .map(current -> current.expiredThroughOnRelease(clock.instant()))
            .orElse(FencingToken.NONE);
    startClaim(
        new LeaseClaim(row.token(), row.endpoints(), earlier, expiredThroughBefore),
        reason,
        actions);
  }

  private void writeRefused(WriteId writeId, List<LeaseAction> actions) {
    if (pendingWrite.isPresent() && pendingWrite.get().row().writeId().equals(writeId)) {
      requestFromStore(new LeaseAction.ReadRow(), actions);
    }
  }

  private void storeUnanswered(List<LeaseAction> actions) {
    if (pendingWrite.isPresent() && !pendingWrite.get().row().holder().equals(self)) {
      VmId to = pendingWrite.get().row().holder();
      actions.add(new LeaseAction.NotifyNextHome(to, knownRow.get(), expiredThrough));
      return;
    }
    Optional<FencingToken> reserved = knownRow.flatMap(row -> row.reservedFor(self));
    if (requested.isEmpty() || claim.isPresent() || reserved.isEmpty()) {
      return;
    }
    LeaseClaim standby =
        new LeaseClaim(reserved.get(), knownRow.get().endpoints(), Set.of(), FencingToken.NONE);
    startClaim(
        standby, "the table service is down and the row names this VM as successor", actions);
  }

  private void startClaim(LeaseClaim next, String reason, List<LeaseAction> actions) {
    claim = Optional.of(next);
    rights.set(LeaseRights.NONE);
    String explanation = "taking " + group + " with token " + next.token() + ": " + reason;
    actions.add(new LeaseAction.LogDecision(explanation));
    fenceAll(actions);
  }

  private void fenceAll(List<LeaseAction> actions) {
    nextRenewalAt = clock.instant().plus(times.renewalInterval());
    LeaseClaim current = claim.get();
    for (EndpointId endpoint : current.endpointsToFence()) {
      actions.add(new LeaseAction.Fence(endpoint, current.token()));
    }
  }

  private void fenceAnswered(LeaseInput.FenceAnswered answer, List<LeaseAction> actions) {
    if (claim.isEmpty() || !answer.asked().equals(claim.get().token())) {
      return;
    }
    LeaseClaim current = claim.get();
    if (answer.highest().isAfter(current.token())) {
      endClaim(
          "endpoint " + answer.endpoint() + " accepted the later token " + answer.highest(),
          actions);
      isRowKnown = false;
      return;
    }
    boolean wasEstablished = current.isEstablished();
    current.addConfirmation(answer, clock.instant(), times);
    rights.set(current.rights(times));
    if (!wasEstablished && current.isEstablished()) {
      String explanation = "now the home of " + group + " with token " + current.token();
      actions.add(new LeaseAction.LogDecision(explanation));
    }
  }

  private void endClaim(String reason, List<LeaseAction> actions) {
    String explanation = "no longer the home of " + group + ", token " + claim.get().token();
    actions.add(new LeaseAction.LogDecision(explanation + ": " + reason));
    claim = Optional.empty();
    rights.set(LeaseRights.NONE);
  }

  private void sendWrite(PendingWrite write, List<LeaseAction> actions) {
    pendingWrite = Optional.of(write);
    requestFromStore(write.toAction(), actions);
  }

  private void requestFromStore(LeaseAction request, List<LeaseAction> actions) {
    nextStoreRequestAt = clock.instant().plus(times.retryInterval());
    actions.add(request);
  }
}

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
 * Holds, or seeks, the lease of one group for one VM.
 *
 * <p>Feed {@link #step} from one thread and carry out the actions it returns; read {@link #rights}
 * from any thread. The clock must never step backwards and needs no relation to any other VM's.
 *
 * <p>Only {@link LeaseRights} allow work. They come from a majority of the group's endpoints, each
 * of which refuses lower tokens once it has accepted a higher one; so the table service may be down
 * for any time without stopping a holder, and a holder that was paused finds its rights expired.
 */
public final class LeaseMachine {
  private final VmId self;
  private final GroupId group;
  private final InstantSource clock;
  private final LeaseTimes times;
  private final RowWriter rows;
  private final AtomicReference<LeaseRights> rights = new AtomicReference<>(LeaseRights.NONE);

  private Optional<LeaseRow> known = Optional.empty();
  private boolean knowsRow;
  private Optional<LeaseInput.Acquire> wanted = Optional.empty();
  private Optional<PendingWrite> pending = Optional.empty();
  private Optional<Holding> holding = Optional.empty();
  private FencingToken ceased = FencingToken.NONE;
  private Instant nextRenewal = Instant.MIN;
  private Instant nextStoreQuestion = Instant.MIN;

  /** Makes a machine that holds nothing; {@code writeIds} gives a new unique id on each call. */
  public LeaseMachine(
      VmId self, GroupId group, InstantSource clock, LeaseTimes times, Supplier<WriteId> writeIds) {
    this.self = self;
    this.group = group;
    this.clock = clock;
    this.times = times;
    this.rows = new RowWriter(self, group, writeIds);
  }

  /** Returns what this VM may do for the group; safe to call from any thread. */
  public LeaseRights rights() {
    return rights.get();
  }

  /** Returns the home of the group as far as this VM knows; call it from the thread of steps. */
  public Optional<VmId> knownHolder() {
    return holding.isPresent() ? Optional.of(self) : known.map(LeaseRow::holder);
  }

  /** Tells whether this VM acts under a token; call it from the thread of steps. */
  public boolean holds() {
    return holding.isPresent();
  }

  /** Takes one input and returns what has to be done about it. */
  public List<LeaseAction> step(LeaseInput input) {
    List<LeaseAction> actions = new ArrayList<>();
    switch (input) {
      case LeaseInput.Tick() -> tick(actions);
      case LeaseInput.Acquire acquire -> acquire(acquire, actions);
      case LeaseInput.HandOver handOver -> handOver(handOver, actions);
      case LeaseInput.HandedOver handedOver -> adopt(handedOver, actions);
      case LeaseInput.RowRead read -> rowRead(read.row(), actions);
      case LeaseInput.WriteApplied applied -> applied(applied.writeId(), actions);
      case LeaseInput.WriteRefused refused -> refused(refused.writeId(), actions);
      case LeaseInput.StoreUnanswered() -> unanswered(actions);
      case LeaseInput.FenceAnswered answer -> fenceAnswered(answer, actions);
    }
    return actions;
  }

  private void tick(List<LeaseAction> actions) {
    Instant now = clock.instant();
    if (holding.isPresent() && !now.isBefore(nextRenewal)) {
      fenceAll(actions);
    }
    boolean hasQuestion = pending.isPresent() || wanted.isPresent();
    if (hasQuestion && !now.isBefore(nextStoreQuestion)) {
      ask(new LeaseAction.ReadRow(), actions);
    }
  }

  private void acquire(LeaseInput.Acquire acquire, List<LeaseAction> actions) {
    if (pending.isPresent()) {
      return;
    }
    wanted = Optional.of(acquire);
    if (knowsRow) {
      send(rows.takeOver(known, holding, acquire), actions);
    } else {
      ask(new LeaseAction.ReadRow(), actions);
    }
  }

  private void handOver(LeaseInput.HandOver handOver, List<LeaseAction> actions) {
    boolean ownsRow = known.map(LeaseRow::holder).filter(self::equals).isPresent();
    if (holding.isEmpty() || pending.isPresent() || !ownsRow) {
      actions.add(new LeaseAction.Explain("cannot hand over " + group + ": not its settled home"));
      return;
    }
    wanted = Optional.empty();
    ceased = holding.get().ceasedWithThis(clock.instant());
    drop("handing over to " + handOver.to(), actions);
    send(rows.handOver(known.get(), handOver.to(), handOver.successors()), actions);
  }

  private void adopt(LeaseInput.HandedOver handedOver, List<LeaseAction> actions) {
    LeaseRow row = handedOver.row();
    boolean isOlder = known.filter(mine -> mine.token().isAfter(row.token())).isPresent();
    Optional<FencingToken> token =
        row.holder().equals(self) ? Optional.of(row.token()) : row.reservedFor(self);
    if (isOlder || token.isEmpty() || holding.isPresent()) {
      return;
    }
    known = Optional.of(row);
    knowsRow = true;
    pending = Optional.empty();
    wanted =
        row.holder().equals(self)
            ? Optional.empty()
            : Optional.of(
                new LeaseInput.Acquire("confirm the hand-over", List.of(), row.endpoints()));
    Holding next = new Holding(token.get(), row.endpoints(), Set.of(), handedOver.ceased());
    hold(next, "handed over", actions);
  }

  private void rowRead(Optional<LeaseRow> row, List<LeaseAction> actions) {
    if (isOlderThanKnown(row)) {
      return;
    }
    Optional<PendingWrite> unsettled = pending;
    if (unsettled.isPresent() && unsettled.get().mayStillApply(row)) {
      send(unsettled.get(), actions);
      return;
    }
    pending = Optional.empty();
    if (unsettled.isPresent() && unsettled.get().isWrittenBy(row)) {
      settled(unsettled.get(), actions);
      return;
    }
    learn(row, actions);
    if (unsettled.isPresent() && holding.isEmpty()) {
      wanted = Optional.empty();
    }
    wanted.ifPresent(acquire -> send(rows.takeOver(known, holding, acquire), actions));
  }

  private boolean isOlderThanKnown(Optional<LeaseRow> row) {
    if (known.isEmpty()) {
      return false;
    }
    return row.isEmpty() || known.get().token().isAfter(row.get().token());
  }

  private void learn(Optional<LeaseRow> row, List<LeaseAction> actions) {
    known = row;
    knowsRow = true;
    boolean replaced =
        holding.isPresent() && row.isPresent() && row.get().token().isAfter(holding.get().token());
    if (replaced) {
      drop("the row names " + row.get().holder() + " with token " + row.get().token(), actions);
    }
  }

  private void applied(WriteId writeId, List<LeaseAction> actions) {
    if (pending.isEmpty() || !pending.get().row().writeId().equals(writeId)) {
      return;
    }
    PendingWrite write = pending.get();
    pending = Optional.empty();
    settled(write, actions);
  }

  private void settled(PendingWrite write, List<LeaseAction> actions) {
    LeaseRow row = write.row();
    known = Optional.of(row);
    knowsRow = true;
    if (!row.holder().equals(self)) {
      actions.add(new LeaseAction.TellNextHome(row.holder(), row, ceased));
      return;
    }
    String reason = wanted.map(LeaseInput.Acquire::reason).orElse("own write read back");
    wanted = Optional.empty();
    if (holding.map(Holding::token).filter(row.token()::equals).isPresent()) {
      return;
    }
    Set<EndpointId> earlier = write.replaced().map(LeaseRow::endpoints).orElse(Set.of());
    FencingToken ceasedHere =
        holding.map(current -> current.ceasedWithThis(clock.instant())).orElse(FencingToken.NONE);
    hold(new Holding(row.token(), row.endpoints(), earlier, ceasedHere), reason, actions);
  }

  private void refused(WriteId writeId, List<LeaseAction> actions) {
    if (pending.isPresent() && pending.get().row().writeId().equals(writeId)) {
      ask(new LeaseAction.ReadRow(), actions);
    }
  }

  private void unanswered(List<LeaseAction> actions) {
    if (pending.isPresent() && !pending.get().row().holder().equals(self)) {
      VmId to = pending.get().row().holder();
      actions.add(new LeaseAction.TellNextHome(to, known.get(), ceased));
      return;
    }
    Optional<FencingToken> reserved = known.flatMap(row -> row.reservedFor(self));
    if (wanted.isEmpty() || holding.isPresent() || reserved.isEmpty()) {
      return;
    }
    Holding standby =
        new Holding(reserved.get(), known.get().endpoints(), Set.of(), FencingToken.NONE);
    hold(standby, "the table service is down and the row names this VM as successor", actions);
  }

  private void hold(Holding next, String reason, List<LeaseAction> actions) {
    holding = Optional.of(next);
    rights.set(LeaseRights.NONE);
    String change = "taking " + group + " with token " + next.token() + ": " + reason;
    actions.add(new LeaseAction.Explain(change));
    fenceAll(actions);
  }

  private void fenceAll(List<LeaseAction> actions) {
    nextRenewal = clock.instant().plus(times.renewal());
    Holding current = holding.get();
    for (EndpointId endpoint : current.electorate()) {
      actions.add(new LeaseAction.Fence(endpoint, current.token()));
    }
  }

  private void fenceAnswered(LeaseInput.FenceAnswered answer, List<LeaseAction> actions) {
    if (holding.isEmpty() || !answer.asked().equals(holding.get().token())) {
      return;
    }
    Holding current = holding.get();
    if (answer.highest().isAfter(current.token())) {
      drop("endpoint " + answer.endpoint() + " has token " + answer.highest(), actions);
      knowsRow = false;
      return;
    }
    boolean wasEstablished = current.isEstablished();
    current.confirm(answer, clock.instant(), times);
    rights.set(current.rights(times));
    if (!wasEstablished && current.isEstablished()) {
      String change = "home of " + group + " with token " + current.token();
      actions.add(new LeaseAction.Explain(change));
    }
  }

  private void drop(String reason, List<LeaseAction> actions) {
    String change = "no home of " + group + " any more, token " + holding.get().token();
    actions.add(new LeaseAction.Explain(change + ": " + reason));
    holding = Optional.empty();
    rights.set(LeaseRights.NONE);
  }

  private void send(PendingWrite write, List<LeaseAction> actions) {
    pending = Optional.of(write);
    ask(write.action(), actions);
  }

  private void ask(LeaseAction question, List<LeaseAction> actions) {
    nextStoreQuestion = clock.instant().plus(times.retry());
    actions.add(question);
  }
}

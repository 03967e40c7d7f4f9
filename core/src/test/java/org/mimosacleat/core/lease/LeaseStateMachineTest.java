package org.mimosacleat.core.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.time.PausedClock;

class LeaseStateMachineTest {
  private static final GroupId GROUP = new GroupId("lending");
  private static final VmId SELF = new VmId("vm-1");
  private static final VmId OLD = new VmId("vm-0");
  private static final EndpointId A = new EndpointId("a");
  private static final EndpointId B = new EndpointId("b");
  private static final EndpointId C = new EndpointId("c");
  private static final Set<EndpointId> ENDPOINTS = Set.of(A, B, C);

  private final PausedClock clock = new PausedClock();
  private int writes;
  private final LeaseStateMachine machine =
      new LeaseStateMachine(
          SELF, GROUP, clock, LeaseTimes.STANDARD, () -> new WriteId("write-" + writes++));

  @Test
  void takeoverAllowsReadsImmediatelyAndWritesAfterTheEarlierLeaseExpired() {
    takeOverFrom(row(OLD, 4, List.of()));
    fence(A, 5);
    assertFalse(
        machine.rights().canRead(Optional.of(A), clock.instant()),
        "one endpoint is not a majority");
    fence(B, 5);

    assertTrue(machine.rights().canRead(Optional.of(A), clock.instant()));
    assertFalse(machine.rights().canRead(Optional.of(C), clock.instant()), "primary not fenced");
    assertFalse(machine.rights().canWrite(A, clock.instant()));
    clock.advance(LeaseTimes.STANDARD.duration());
    fence(A, 5);
    fence(B, 5);
    assertTrue(machine.rights().canWrite(A, clock.instant()));
    assertFalse(machine.rights().canConnect(C, clock.instant()), "endpoint not fenced");
  }

  @Test
  void holderPausedBeyondItsLeaseHasNoRights() {
    takeOverFrom(row(OLD, 4, List.of()));
    fence(A, 5);
    fence(B, 5);

    clock.advance(Duration.ofMillis(800));

    assertFalse(machine.rights().canRead(Optional.of(A), clock.instant()));
  }

  @Test
  void lostResponseIsResolvedByTheWriteId() {
    machine.step(acquire());
    final LeaseAction.WriteRow write =
        writeIn(machine.step(new LeaseInput.RowRead(Optional.empty())));
    machine.step(new LeaseInput.StoreTimedOut());

    clock.advance(LeaseTimes.STANDARD.retryInterval());
    assertTrue(machine.step(new LeaseInput.Tick()).contains(new LeaseAction.ReadRow()));
    List<LeaseAction> actions = machine.step(new LeaseInput.RowRead(Optional.of(write.row())));

    assertTrue(actions.contains(new LeaseAction.Fence(A, write.row().token())));
  }

  @Test
  void vmWhoseWriteWasRefusedAcceptsTheOtherHolder() {
    machine.step(acquire());
    LeaseAction.WriteRow write =
        writeIn(machine.step(new LeaseInput.RowRead(Optional.of(row(OLD, 4, List.of())))));
    machine.step(new LeaseInput.WriteRefused(write.row().writeId()));
    LeaseRow winner = row(new VmId("vm-2"), 5, List.of());

    assertEquals(List.of(), machine.step(new LeaseInput.RowRead(Optional.of(winner))));
    assertEquals(Optional.of(winner.holder()), machine.knownHome());
  }

  @Test
  void successorTakesOverWithItsReservedTokenWhileTheTableIsDown() {
    machine.step(new LeaseInput.RowRead(Optional.of(row(OLD, 4, List.of(new VmId("x"), SELF)))));
    machine.step(acquire());

    List<LeaseAction> actions = machine.step(new LeaseInput.StoreTimedOut());

    assertTrue(actions.contains(new LeaseAction.Fence(A, new FencingToken(6))), "" + actions);
  }

  @Test
  void vmThatIsNotSuccessorWaitsWhileTheTableIsDown() {
    machine.step(new LeaseInput.RowRead(Optional.of(row(OLD, 4, List.of(new VmId("x"))))));
    machine.step(acquire());

    assertEquals(List.of(), machine.step(new LeaseInput.StoreTimedOut()));
  }

  @Test
  void handOverIsOneWriteAndTheNextHomeMayWriteImmediately() {
    LeaseRow handed = row(SELF, 9, List.of());
    machine.step(new LeaseInput.HandedOver(handed, new FencingToken(4)));
    fence(A, 9);
    fence(B, 9);
    assertTrue(machine.rights().canWrite(A, clock.instant()));

    List<LeaseAction> actions = machine.step(new LeaseInput.HandOver(OLD, List.of()));

    assertFalse(
        machine.rights().canRead(Optional.of(A), clock.instant()), "rights end before the write");
    LeaseRow next = writeIn(actions).row();
    assertEquals(OLD, next.holder());
    assertEquals(
        List.of(new LeaseAction.NotifyNextHome(OLD, next, new FencingToken(9))),
        machine.step(new LeaseInput.WriteApplied(next.writeId())));
  }

  private void takeOverFrom(LeaseRow row) {
    machine.step(acquire());
    LeaseAction.WriteRow write = writeIn(machine.step(new LeaseInput.RowRead(Optional.of(row))));
    machine.step(new LeaseInput.WriteApplied(write.row().writeId()));
  }

  private void fence(EndpointId endpoint, long token) {
    FencingToken accepted = new FencingToken(token);
    FencingToken previous = new FencingToken(4);
    machine.step(
        new LeaseInput.FenceAnswered(endpoint, accepted, accepted, previous, clock.instant()));
  }

  private static LeaseInput.Acquire acquire() {
    return new LeaseInput.Acquire("test", List.of(), ENDPOINTS);
  }

  private static LeaseAction.WriteRow writeIn(List<LeaseAction> actions) {
    return actions.stream()
        .filter(LeaseAction.WriteRow.class::isInstance)
        .map(LeaseAction.WriteRow.class::cast)
        .findFirst()
        .orElseThrow();
  }

  private static LeaseRow row(VmId holder, long token, List<VmId> successors) {
    FencingToken fencing = new FencingToken(token);
    WriteId writeId = new WriteId("row-" + token);
    return new LeaseRow(GROUP, holder, fencing, fencing.plus(1), successors, ENDPOINTS, writeId);
  }
}

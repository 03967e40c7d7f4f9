package org.mimosacleat.core.lease;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.time.PausedClock;

/**
 * Randomized simulation of three lease machines whose clocks run at different rates, a row of the
 * table service and three endpoints. Responses are delayed, reordered or lost, VMs pause, and the
 * table service fails, all driven by one seed.
 */
final class LeaseSimulation {
  /** Faults in the environment of the lease machines that the simulation must detect. */
  enum Fault {
    NONE,
    ENDPOINTS_FORGET_TOKENS,
    DURATION_COUNTS_FROM_RESPONSE
  }

  private static final GroupId GROUP = new GroupId("lending");
  private static final EndpointId PRIMARY = new EndpointId("a");
  private static final int VMS = 3;
  private static final double LOSS_PROBABILITY = 0.15;
  private static final double DELAY_PROBABILITY = 0.1;

  private final Map<EndpointId, FencingToken> fences = new HashMap<>();
  private final Map<EndpointId, FencingToken> previous = new HashMap<>();
  private final List<LeaseStateMachine> machines = new ArrayList<>();
  private final List<PausedClock> clocks = new ArrayList<>();
  private final List<Double> rates = List.of(0.97, 1.0, 1.03);
  private final List<VmId> vms = new ArrayList<>();
  private final Set<EndpointId> endpoints = new TreeSet<>();
  private final List<Runnable> inFlight = new ArrayList<>();
  private final long[] pausedUntilMs = new long[VMS];
  private final Random random;
  private final Fault fault;
  private Optional<LeaseRow> row = Optional.empty();
  private boolean storeDown;
  private long nowMs;
  private int writes;
  private final long[] readablePositions = new long[VMS];
  private final long[] unacknowledgedWrites = new long[VMS];
  private final List<FencingToken> readablePositionTokens =
      new ArrayList<>(java.util.Collections.nCopies(VMS, FencingToken.NONE));
  private long executed;
  private long acknowledged;
  int acknowledgements;

  LeaseSimulation(long seed, Fault fault) {
    this.random = new Random(seed);
    this.fault = fault;
    for (String name : List.of("a", "b", "c")) {
      endpoints.add(new EndpointId(name));
    }
    for (int index = 0; index < VMS; index++) {
      PausedClock clock = new PausedClock(Instant.ofEpochSecond(1_000L * index));
      VmId vm = new VmId("vm-" + index);
      vms.add(vm);
      clocks.add(clock);
      machines.add(
          new LeaseStateMachine(
              vm, GROUP, clock, LeaseTimes.STANDARD, () -> new WriteId(vm + "-" + writes++)));
    }
  }

  /** Advances the simulation by 10 ms and injects random events. */
  void step() {
    nowMs += 10;
    for (int index = 0; index < VMS; index++) {
      clocks.get(index).advance(Duration.ofNanos((long) (10_000_000 * rates.get(index))));
    }
    storeDown = random.nextInt(200) == 0 ? !storeDown : storeDown;
    int chosen = random.nextInt(VMS);
    if (random.nextInt(150) == 0) {
      pausedUntilMs[chosen] = nowMs + random.nextInt(3_000);
    }
    if (random.nextInt(100) == 0) {
      process(chosen, new LeaseInput.Acquire("test", otherVms(chosen), endpoints));
    }
    if (random.nextInt(100) == 0) {
      process(chosen, new LeaseInput.HandOver(vms.get((chosen + 1) % VMS), otherVms(chosen)));
    }
    for (int index = 0; index < VMS; index++) {
      process(index, new LeaseInput.Tick());
    }
    deliver();
  }

  /**
   * Lets every VM that has the rights write on the primary, acknowledge and read. Returns a
   * description of the first read that misses an acknowledged write, or empty if there is none.
   */
  Optional<String> findViolation() {
    for (int index = 0; index < VMS; index++) {
      LeaseRights rights = machines.get(index).rights();
      Instant time = clocks.get(index).instant();
      updateReadablePosition(index, rights, time);
      if (rights.canWrite(PRIMARY, time)) {
        acknowledge(index, rights);
      }
    }
    for (int index = 0; index < VMS; index++) {
      LeaseRights rights = machines.get(index).rights();
      boolean reads = rights.canRead(Optional.of(PRIMARY), clocks.get(index).instant());
      if (reads && readablePositions[index] < acknowledged) {
        return Optional.of(
            "vm-" + index + " reads " + readablePositions[index] + " of " + acknowledged);
      }
    }
    return Optional.empty();
  }

  private void updateReadablePosition(int index, LeaseRights rights, Instant time) {
    boolean isNew = !rights.token().equals(readablePositionTokens.get(index));
    if (isNew && rights.canRead(Optional.of(PRIMARY), time)) {
      readablePositionTokens.set(index, rights.token());
      readablePositions[index] = executed;
      unacknowledgedWrites[index] = 0;
    }
  }

  private void acknowledge(int index, LeaseRights rights) {
    if (unacknowledgedWrites[index] > 0) {
      acknowledged = Math.max(acknowledged, unacknowledgedWrites[index]);
      readablePositions[index] = Math.max(readablePositions[index], unacknowledgedWrites[index]);
      acknowledgements++;
    }
    unacknowledgedWrites[index] = 0;
    if (rights.token().equals(fences.get(PRIMARY))) {
      executed++;
      unacknowledgedWrites[index] = executed;
    }
  }

  private void deliver() {
    for (int count = random.nextInt(40); count > 0 && !inFlight.isEmpty(); count--) {
      inFlight.remove(random.nextInt(inFlight.size())).run();
    }
  }

  private void process(int index, LeaseInput input) {
    if (pausedUntilMs[index] > nowMs) {
      if (!(input instanceof LeaseInput.Tick)) {
        inFlight.add(() -> process(index, input));
      }
      return;
    }
    LeaseInput actualInput = input;
    if (fault == Fault.DURATION_COUNTS_FROM_RESPONSE
        && input instanceof LeaseInput.FenceAnswered answer) {
      Instant answeredAt = clocks.get(index).instant();
      actualInput =
          new LeaseInput.FenceAnswered(
              answer.endpoint(), answer.asked(), answer.highest(), answer.previous(), answeredAt);
    }
    machines.get(index).step(actualInput).forEach(action -> execute(index, action));
  }

  private void execute(int index, LeaseAction action) {
    switch (action) {
      case LeaseAction.Fence fence -> {
        Instant sentAt = clocks.get(index).instant();
        inFlight.add(() -> fence(index, fence, sentAt));
      }
      case LeaseAction.ReadRow() -> inFlight.add(() -> read(index));
      case LeaseAction.WriteRow write -> inFlight.add(() -> write(index, write));
      case LeaseAction.NotifyNextHome notification ->
          answer(
              vms.indexOf(notification.to()),
              new LeaseInput.HandedOver(notification.row(), notification.expiredThrough()));
      case LeaseAction.LogDecision logDecision -> {}
    }
  }

  private void fence(int index, LeaseAction.Fence fence, Instant sentAt) {
    FencingToken seen = fences.getOrDefault(fence.endpoint(), FencingToken.NONE);
    boolean forgets = fault == Fault.ENDPOINTS_FORGET_TOKENS;
    FencingToken highest = seen.isAfter(fence.token()) && !forgets ? seen : fence.token();
    if (highest.isAfter(seen)) {
      previous.put(fence.endpoint(), seen);
    }
    FencingToken before = previous.getOrDefault(fence.endpoint(), FencingToken.NONE);
    fences.put(fence.endpoint(), highest);
    inFlight.add(
        () -> {
          answer(
              index,
              new LeaseInput.FenceAnswered(
                  fence.endpoint(), fence.token(), highest, before, sentAt));
        });
  }

  private void read(int index) {
    Optional<LeaseRow> seen = row;
    answer(index, storeDown ? new LeaseInput.StoreTimedOut() : new LeaseInput.RowRead(seen));
  }

  private void write(int index, LeaseAction.WriteRow write) {
    if (storeDown) {
      answer(index, new LeaseInput.StoreTimedOut());
      return;
    }
    boolean holds = row.map(LeaseRow::writeId).equals(write.expected());
    if (holds) {
      row = Optional.of(write.row());
    }
    WriteId id = write.row().writeId();
    if (random.nextDouble() < LOSS_PROBABILITY) {
      answer(index, new LeaseInput.StoreTimedOut());
    } else {
      answer(index, holds ? new LeaseInput.WriteApplied(id) : new LeaseInput.WriteRefused(id));
    }
  }

  private void answer(int index, LeaseInput input) {
    if (random.nextDouble() < LOSS_PROBABILITY) {
      return;
    }
    boolean isSlow = random.nextDouble() < DELAY_PROBABILITY;
    enqueueAt(nowMs + (isSlow ? random.nextInt(2_000) : 0), () -> process(index, input));
  }

  private void enqueueAt(long dueMs, Runnable arrival) {
    inFlight.add(dueMs <= nowMs ? arrival : () -> enqueueAt(dueMs, arrival));
  }

  private List<VmId> otherVms(int index) {
    return vms.stream().filter(vm -> !vm.equals(vms.get(index))).toList();
  }
}

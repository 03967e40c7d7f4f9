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
 * Several lease machines with clocks of different rates, a table row and three endpoints. Answers
 * are delayed, crossed or lost, VMs pause, the table goes down; all by one seed.
 */
final class LeaseWorld {
  /** The faults that a wrong implementation around the machine may have. */
  enum Mistake {
    NONE,
    ENDPOINTS_FORGET_TOKENS,
    TIMES_COUNT_FROM_THE_ANSWER
  }

  private static final GroupId GROUP = new GroupId("lending");
  private static final EndpointId PRIMARY = new EndpointId("a");
  private static final int VMS = 3;
  private static final double LOSS = 0.15;
  private static final double SLOW = 0.1;

  private final Map<EndpointId, FencingToken> fences = new HashMap<>();
  private final Map<EndpointId, FencingToken> previous = new HashMap<>();
  private final List<LeaseMachine> machines = new ArrayList<>();
  private final List<PausedClock> clocks = new ArrayList<>();
  private final List<Double> rates = List.of(0.97, 1.0, 1.03);
  private final List<VmId> vms = new ArrayList<>();
  private final Set<EndpointId> endpoints = new TreeSet<>();
  private final List<Runnable> inFlight = new ArrayList<>();
  private final long[] pausedUntil = new long[VMS];
  private final Random random;
  private final Mistake mistake;
  private Optional<LeaseRow> row = Optional.empty();
  private boolean storeDown;
  private long now;
  private int writes;
  private final long[] floors = new long[VMS];
  private final long[] executedBy = new long[VMS];
  private final List<FencingToken> floorTokens =
      new ArrayList<>(java.util.Collections.nCopies(VMS, FencingToken.NONE));
  private long executed;
  private long acknowledged;
  int acknowledgements;

  LeaseWorld(long seed, Mistake mistake) {
    this.random = new Random(seed);
    this.mistake = mistake;
    for (String name : List.of("a", "b", "c")) {
      endpoints.add(new EndpointId(name));
    }
    for (int index = 0; index < VMS; index++) {
      PausedClock clock = new PausedClock(Instant.ofEpochSecond(1_000L * index));
      VmId vm = new VmId("vm-" + index);
      vms.add(vm);
      clocks.add(clock);
      machines.add(
          new LeaseMachine(
              vm, GROUP, clock, LeaseTimes.STANDARD, () -> new WriteId(vm + "-" + writes++)));
    }
  }

  /** Lets 10 ms pass, with whatever happens in them. */
  void step() {
    now += 10;
    for (int index = 0; index < VMS; index++) {
      clocks.get(index).advance(Duration.ofNanos((long) (10_000_000 * rates.get(index))));
    }
    storeDown = random.nextInt(200) == 0 ? !storeDown : storeDown;
    int chosen = random.nextInt(VMS);
    if (random.nextInt(150) == 0) {
      pausedUntil[chosen] = now + random.nextInt(3_000);
    }
    if (random.nextInt(100) == 0) {
      give(chosen, new LeaseInput.Acquire("test", others(chosen), endpoints));
    }
    if (random.nextInt(100) == 0) {
      give(chosen, new LeaseInput.HandOver(vms.get((chosen + 1) % VMS), others(chosen)));
    }
    for (int index = 0; index < VMS; index++) {
      give(index, new LeaseInput.Tick());
    }
    deliver();
  }

  /**
   * Lets every VM with the right to do so write on the primary, acknowledge, and read; returns what
   * is wrong: a read that misses an acknowledged write.
   */
  Optional<String> violation() {
    for (int index = 0; index < VMS; index++) {
      LeaseRights rights = machines.get(index).rights();
      Instant time = clocks.get(index).instant();
      learnFloor(index, rights, time);
      if (rights.mayWrite(PRIMARY, time)) {
        acknowledge(index, rights);
      }
    }
    for (int index = 0; index < VMS; index++) {
      LeaseRights rights = machines.get(index).rights();
      boolean reads = rights.mayRead(Optional.of(PRIMARY), clocks.get(index).instant());
      if (reads && floors[index] < acknowledged) {
        return Optional.of("vm-" + index + " reads " + floors[index] + " of " + acknowledged);
      }
    }
    return Optional.empty();
  }

  private void learnFloor(int index, LeaseRights rights, Instant time) {
    boolean isNew = !rights.token().equals(floorTokens.get(index));
    if (isNew && rights.mayRead(Optional.of(PRIMARY), time)) {
      floorTokens.set(index, rights.token());
      floors[index] = executed;
      executedBy[index] = 0;
    }
  }

  private void acknowledge(int index, LeaseRights rights) {
    if (executedBy[index] > 0) {
      acknowledged = Math.max(acknowledged, executedBy[index]);
      floors[index] = Math.max(floors[index], executedBy[index]);
      acknowledgements++;
    }
    executedBy[index] = 0;
    if (rights.token().equals(fences.get(PRIMARY))) {
      executed++;
      executedBy[index] = executed;
    }
  }

  private void deliver() {
    for (int count = random.nextInt(40); count > 0 && !inFlight.isEmpty(); count--) {
      inFlight.remove(random.nextInt(inFlight.size())).run();
    }
  }

  private void give(int index, LeaseInput input) {
    if (pausedUntil[index] > now) {
      if (!(input instanceof LeaseInput.Tick)) {
        inFlight.add(() -> give(index, input));
      }
      return;
    }
    LeaseInput given = input;
    if (mistake == Mistake.TIMES_COUNT_FROM_THE_ANSWER
        && input instanceof LeaseInput.FenceAnswered answer) {
      Instant answeredAt = clocks.get(index).instant();
      given =
          new LeaseInput.FenceAnswered(
              answer.endpoint(), answer.asked(), answer.highest(), answer.previous(), answeredAt);
    }
    machines.get(index).step(given).forEach(action -> carryOut(index, action));
  }

  private void carryOut(int index, LeaseAction action) {
    switch (action) {
      case LeaseAction.Fence fence -> {
        Instant sentAt = clocks.get(index).instant();
        inFlight.add(() -> fence(index, fence, sentAt));
      }
      case LeaseAction.ReadRow() -> inFlight.add(() -> read(index));
      case LeaseAction.WriteRow write -> inFlight.add(() -> write(index, write));
      case LeaseAction.TellNextHome tell ->
          answer(vms.indexOf(tell.to()), new LeaseInput.HandedOver(tell.row(), tell.ceased()));
      case LeaseAction.Explain explain -> {}
    }
  }

  private void fence(int index, LeaseAction.Fence fence, Instant sentAt) {
    FencingToken seen = fences.getOrDefault(fence.endpoint(), FencingToken.NONE);
    boolean forgets = mistake == Mistake.ENDPOINTS_FORGET_TOKENS;
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
    answer(index, storeDown ? new LeaseInput.StoreUnanswered() : new LeaseInput.RowRead(seen));
  }

  private void write(int index, LeaseAction.WriteRow write) {
    if (storeDown) {
      answer(index, new LeaseInput.StoreUnanswered());
      return;
    }
    boolean holds = row.map(LeaseRow::writeId).equals(write.expected());
    if (holds) {
      row = Optional.of(write.row());
    }
    WriteId id = write.row().writeId();
    if (random.nextDouble() < LOSS) {
      answer(index, new LeaseInput.StoreUnanswered());
    } else {
      answer(index, holds ? new LeaseInput.WriteApplied(id) : new LeaseInput.WriteRefused(id));
    }
  }

  private void answer(int index, LeaseInput input) {
    if (random.nextDouble() < LOSS) {
      return;
    }
    boolean isSlow = random.nextDouble() < SLOW;
    arrive(now + (isSlow ? random.nextInt(2_000) : 0), () -> give(index, input));
  }

  private void arrive(long due, Runnable arrival) {
    inFlight.add(due <= now ? arrival : () -> arrive(due, arrival));
  }

  private List<VmId> others(int index) {
    return vms.stream().filter(vm -> !vm.equals(vms.get(index))).toList();
  }
}

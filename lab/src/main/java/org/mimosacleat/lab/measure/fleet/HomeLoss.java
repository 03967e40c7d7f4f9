package org.mimosacleat.lab.measure.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.lease.FencingToken;
import org.mimosacleat.core.lease.LeaseAction;
import org.mimosacleat.core.lease.LeaseInput;
import org.mimosacleat.core.lease.LeaseRow;
import org.mimosacleat.core.lease.LeaseStateMachine;
import org.mimosacleat.core.lease.LeaseTimes;
import org.mimosacleat.core.lease.WriteId;
import org.mimosacleat.core.membership.HomeMonitor;
import org.mimosacleat.core.membership.HomeMonitorAction;
import org.mimosacleat.core.membership.HomeMonitorInput;
import org.mimosacleat.core.membership.HomeMonitorTimes;

/** One loss of a home: two watchers notice it, and the first takes the lease over. */
final class HomeLoss {
  private static final GroupId GROUP = new GroupId("database");
  private static final VmId LOST = new VmId("lost");
  private static final VmId NEXT = new VmId("next");
  private static final EndpointId PRIMARY = new EndpointId("a");
  private static final Set<EndpointId> ENDPOINTS =
      Set.of(PRIMARY, new EndpointId("b"), new EndpointId("c"));
  private static final FencingToken OLD_TOKEN = new FencingToken(4);
  private static final Duration TICK = Duration.ofMillis(50);
  private static final Duration STORE_LATENCY = Duration.ofMillis(10);
  private static final Duration STORE_TIMEOUT = Duration.ofMillis(200);
  private static final Duration END = Duration.ofSeconds(20);

  private final EventQueue events = new EventQueue();
  private final Map<EndpointId, FencingToken> fences = new HashMap<>();
  private final Duration latency;
  private final boolean storeIsDown;
  private final Random random;
  private final HomeMonitor first;
  private final HomeMonitor second;
  private final LeaseStateMachine lease;
  private final LeaseRow row;
  private int writes;
  private Instant lostAt = Instant.MAX;
  private Optional<Instant> readsFrom = Optional.empty();
  private Optional<Instant> writesFrom = Optional.empty();
  private boolean tookOver;

  HomeLoss(Duration latency, boolean storeIsDown, long seed) {
    this.latency = latency;
    this.storeIsDown = storeIsDown;
    this.random = new Random(seed);
    this.first = watch("tamaki");
    this.second = watch("kirikiriroa");
    this.lease =
        new LeaseStateMachine(
            NEXT,
            GROUP,
            events.clock(),
            LeaseTimes.STANDARD,
            () -> new WriteId("write-" + writes++));
    this.row =
        new LeaseRow(
            GROUP,
            LOST,
            OLD_TOKEN,
            OLD_TOKEN.plus(1),
            List.of(NEXT),
            ENDPOINTS,
            new WriteId("old"));
    ENDPOINTS.forEach(endpoint -> fences.put(endpoint, OLD_TOKEN));
    lease.step(new LeaseInput.RowRead(Optional.of(row)));
  }

  Duration untilReads() {
    return Duration.between(lostAt, readsFrom.orElseThrow());
  }

  Duration untilWrites() {
    return Duration.between(lostAt, writesFrom.orElseThrow());
  }

  void run() {
    Duration life = Duration.ofMillis(1_000L + random.nextInt(1_000));
    lostAt = events.clock().instant().plus(life);
    events.after(Duration.ofMillis(random.nextInt(150)), this::heartbeat);
    events.after(Duration.ofMillis(random.nextInt(50)), () -> tick(first, second));
    events.after(Duration.ofMillis(random.nextInt(50)), () -> tick(second, first));
    events.after(Duration.ofMillis(5), this::tickLease);
    events.runUntil(events.clock().instant().plus(END));
  }

  private HomeMonitor watch(String zone) {
    return new HomeMonitor(
        LOST, new AvailabilityZone(zone), 2, events.clock(), HomeMonitorTimes.STANDARD);
  }

  private void heartbeat() {
    if (!events.clock().instant().isBefore(lostAt)) {
      return;
    }
    events.after(latency, () -> first.step(new HomeMonitorInput.MessageReceived()));
    events.after(latency, () -> second.step(new HomeMonitorInput.MessageReceived()));
    events.after(HomeMonitorTimes.STANDARD.heartbeatInterval(), this::heartbeat);
  }

  private void tick(HomeMonitor watch, HomeMonitor other) {
    carryOut(watch, other, watch.step(new HomeMonitorInput.Tick()));
    events.after(TICK, () -> tick(watch, other));
  }

  private void carryOut(HomeMonitor watch, HomeMonitor other, List<HomeMonitorAction> actions) {
    for (HomeMonitorAction action : actions) {
      switch (action) {
        case HomeMonitorAction.QueryMonitors ask ->
            events.after(latency, () -> answer(watch, other, other.silence()));
        case HomeMonitorAction.HomeLost lost -> lost(watch);
      }
    }
  }

  private void answer(HomeMonitor asker, HomeMonitor witness, Duration silence) {
    HomeMonitorInput answer =
        new HomeMonitorInput.MonitorAnswered(new VmId("w"), new AvailabilityZone("other"), silence);
    events.after(latency, () -> carryOut(asker, witness, asker.step(answer)));
  }

  private void lost(HomeMonitor watch) {
    if (tookOver) {
      return;
    }
    tookOver = true;
    Duration told = watch == first ? Duration.ZERO : latency;
    LeaseInput acquire = new LeaseInput.Acquire("home lost", List.of(), ENDPOINTS);
    events.after(told, () -> give(acquire));
  }

  private void tickLease() {
    give(new LeaseInput.Tick());
    Instant now = events.clock().instant();
    if (readsFrom.isEmpty() && lease.rights().canRead(Optional.of(PRIMARY), now)) {
      readsFrom = Optional.of(now);
    }
    if (writesFrom.isEmpty() && lease.rights().canWrite(PRIMARY, now)) {
      writesFrom = Optional.of(now);
    }
    events.after(Duration.ofMillis(5), this::tickLease);
  }

  private void give(LeaseInput input) {
    for (LeaseAction action : lease.step(input)) {
      switch (action) {
        case LeaseAction.Fence fence -> events.after(latency, () -> fence(fence, sentAt()));
        case LeaseAction.WriteRow write -> answerStore(new LeaseInput.WriteApplied(id(write)));
        case LeaseAction.ReadRow() -> answerStore(new LeaseInput.RowRead(Optional.of(row)));
        case LeaseAction.NotifyNextHome tell -> {}
        case LeaseAction.LogDecision explain -> {}
      }
    }
  }

  private Instant sentAt() {
    return events.clock().instant().minus(latency);
  }

  private static WriteId id(LeaseAction.WriteRow write) {
    return write.row().writeId();
  }

  private void answerStore(LeaseInput answer) {
    if (storeIsDown) {
      events.after(STORE_TIMEOUT, () -> give(new LeaseInput.StoreTimedOut()));
    } else {
      events.after(STORE_LATENCY, () -> give(answer));
    }
  }

  private void fence(LeaseAction.Fence fence, Instant sentAt) {
    fences.put(fence.endpoint(), fence.token());
    LeaseInput answer =
        new LeaseInput.FenceAnswered(
            fence.endpoint(), fence.token(), fence.token(), OLD_TOKEN, sentAt);
    events.after(latency, () -> give(answer));
  }
}

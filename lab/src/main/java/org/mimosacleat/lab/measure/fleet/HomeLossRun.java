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

/**
 * Simulates one loss of a home: two monitors detect it, and the VM of the first monitor acquires
 * the lease.
 */
final class HomeLossRun {
  private static final GroupId GROUP = new GroupId("database");
  private static final VmId LOST_HOME = new VmId("lost");
  private static final VmId NEXT_HOME = new VmId("next");
  private static final EndpointId PRIMARY = new EndpointId("a");
  private static final Set<EndpointId> ENDPOINTS =
      Set.of(PRIMARY, new EndpointId("b"), new EndpointId("c"));
  private static final FencingToken OLD_TOKEN = new FencingToken(4);
  private static final Duration TICK_INTERVAL = Duration.ofMillis(50);
  private static final Duration STORE_LATENCY = Duration.ofMillis(10);
  private static final Duration STORE_TIMEOUT = Duration.ofMillis(200);
  private static final Duration RUN_LENGTH = Duration.ofSeconds(20);

  private final EventQueue events = new EventQueue();
  private final Map<EndpointId, FencingToken> fences = new HashMap<>();
  private final Duration latency;
  private final boolean storeIsDown;
  private final Random random;
  private final HomeMonitor firstMonitor;
  private final HomeMonitor secondMonitor;
  private final LeaseStateMachine lease;
  private final LeaseRow row;
  private int writes;
  private Instant lostAt = Instant.MAX;
  private Optional<Instant> readsFrom = Optional.empty();
  private Optional<Instant> writesFrom = Optional.empty();
  private boolean takeoverStarted;

  HomeLossRun(Duration latency, boolean storeIsDown, long seed) {
    this.latency = latency;
    this.storeIsDown = storeIsDown;
    this.random = new Random(seed);
    this.firstMonitor = newMonitor("tamaki");
    this.secondMonitor = newMonitor("kirikiriroa");
    this.lease =
        new LeaseStateMachine(
            NEXT_HOME,
            GROUP,
            events.clock(),
            LeaseTimes.STANDARD,
            () -> new WriteId("write-" + writes++));
    this.row =
        new LeaseRow(
            GROUP,
            LOST_HOME,
            OLD_TOKEN,
            OLD_TOKEN.plus(1),
            List.of(NEXT_HOME),
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
    Duration lifetime = Duration.ofMillis(1_000L + random.nextInt(1_000));
    lostAt = events.clock().instant().plus(lifetime);
    events.scheduleAfter(Duration.ofMillis(random.nextInt(150)), this::heartbeat);
    events.scheduleAfter(
        Duration.ofMillis(random.nextInt(50)), () -> tick(firstMonitor, secondMonitor));
    events.scheduleAfter(
        Duration.ofMillis(random.nextInt(50)), () -> tick(secondMonitor, firstMonitor));
    events.scheduleAfter(Duration.ofMillis(5), this::tickLease);
    events.runUntil(events.clock().instant().plus(RUN_LENGTH));
  }

  private HomeMonitor newMonitor(String zone) {
    return new HomeMonitor(
        LOST_HOME, new AvailabilityZone(zone), 2, events.clock(), HomeMonitorTimes.STANDARD);
  }

  private void heartbeat() {
    if (!events.clock().instant().isBefore(lostAt)) {
      return;
    }
    events.scheduleAfter(latency, () -> firstMonitor.step(new HomeMonitorInput.MessageReceived()));
    events.scheduleAfter(latency, () -> secondMonitor.step(new HomeMonitorInput.MessageReceived()));
    events.scheduleAfter(HomeMonitorTimes.STANDARD.heartbeatInterval(), this::heartbeat);
  }

  private void tick(HomeMonitor monitor, HomeMonitor otherMonitor) {
    perform(monitor, otherMonitor, monitor.step(new HomeMonitorInput.Tick()));
    events.scheduleAfter(TICK_INTERVAL, () -> tick(monitor, otherMonitor));
  }

  private void perform(
      HomeMonitor monitor, HomeMonitor otherMonitor, List<HomeMonitorAction> actions) {
    for (HomeMonitorAction action : actions) {
      switch (action) {
        case HomeMonitorAction.QueryMonitors query ->
            events.scheduleAfter(
                latency, () -> answerQuery(monitor, otherMonitor, otherMonitor.silence()));
        case HomeMonitorAction.HomeLost lost -> acquireLease(monitor);
      }
    }
  }

  private void answerQuery(HomeMonitor requester, HomeMonitor respondent, Duration silence) {
    HomeMonitorInput answer =
        new HomeMonitorInput.MonitorAnswered(new VmId("w"), new AvailabilityZone("other"), silence);
    events.scheduleAfter(latency, () -> perform(requester, respondent, requester.step(answer)));
  }

  private void acquireLease(HomeMonitor monitor) {
    if (takeoverStarted) {
      return;
    }
    takeoverStarted = true;
    Duration notificationDelay = monitor == firstMonitor ? Duration.ZERO : latency;
    LeaseInput acquire = new LeaseInput.Acquire("home lost", List.of(), ENDPOINTS);
    events.scheduleAfter(notificationDelay, () -> stepLease(acquire));
  }

  private void tickLease() {
    stepLease(new LeaseInput.Tick());
    Instant now = events.clock().instant();
    if (readsFrom.isEmpty() && lease.rights().canRead(Optional.of(PRIMARY), now)) {
      readsFrom = Optional.of(now);
    }
    if (writesFrom.isEmpty() && lease.rights().canWrite(PRIMARY, now)) {
      writesFrom = Optional.of(now);
    }
    events.scheduleAfter(Duration.ofMillis(5), this::tickLease);
  }

  private void stepLease(LeaseInput input) {
    for (LeaseAction action : lease.step(input)) {
      switch (action) {
        case LeaseAction.Fence fence -> events.scheduleAfter(latency, () -> fence(fence, sentAt()));
        case LeaseAction.WriteRow write -> answerStore(new LeaseInput.WriteApplied(writeId(write)));
        case LeaseAction.ReadRow() -> answerStore(new LeaseInput.RowRead(Optional.of(row)));
        case LeaseAction.NotifyNextHome notification -> {}
        case LeaseAction.LogDecision decision -> {}
      }
    }
  }

  private Instant sentAt() {
    return events.clock().instant().minus(latency);
  }

  private static WriteId writeId(LeaseAction.WriteRow write) {
    return write.row().writeId();
  }

  private void answerStore(LeaseInput answer) {
    if (storeIsDown) {
      events.scheduleAfter(STORE_TIMEOUT, () -> stepLease(new LeaseInput.StoreTimedOut()));
    } else {
      events.scheduleAfter(STORE_LATENCY, () -> stepLease(answer));
    }
  }

  private void fence(LeaseAction.Fence fence, Instant sentAt) {
    fences.put(fence.endpoint(), fence.token());
    LeaseInput answer =
        new LeaseInput.FenceAnswered(
            fence.endpoint(), fence.token(), fence.token(), OLD_TOKEN, sentAt);
    events.scheduleAfter(latency, () -> stepLease(answer));
  }
}

package org.mimosacleat.lab.measure.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.lease.FencingToken;
import org.mimosacleat.core.lease.LeaseAction;
import org.mimosacleat.core.lease.LeaseInput;
import org.mimosacleat.core.lease.LeaseStateMachine;
import org.mimosacleat.core.lease.LeaseTimes;
import org.mimosacleat.core.lease.WriteId;
import org.mimosacleat.core.membership.HomeMonitorTimes;
import org.mimosacleat.core.placement.Member;
import org.mimosacleat.core.placement.PlacementTable;
import org.mimosacleat.core.time.PausedClock;
import org.mimosacleat.lab.measure.Reading;

/** What a group costs its home and its watchers, and what the placement of all groups costs. */
final class GroupSlope {
  private static final Set<EndpointId> ENDPOINTS =
      Set.of(
          new EndpointId("endpoint-1"), new EndpointId("endpoint-2"), new EndpointId("endpoint-3"));
  private static final int WATCHERS = 2;
  private static final int RENEWALS = 200_000;
  private static final int PLACEMENTS = 20;
  private static final int MACHINES = 1_000;
  private static final List<Integer> GROUPS = List.of(100, 800, 3_200, FullSize.DATABASES);

  private final List<Reading> readings = new ArrayList<>();
  private double placementMegabytes;
  private double placementMilliseconds;
  private double bytesPerGroup;
  private double nanosecondsPerGroup;

  List<Reading> measure() {
    measureMessages();
    measureRenewals();
    double machine = Heap.bytesOf(GroupSlope::machines) / (double) MACHINES;
    readings.add(reading("memory of a lease", "each group", "bytes", machine));
    for (int groups : GROUPS) {
      measurePlacement(groups);
    }
    return readings;
  }

  double bytesPerSecond() {
    return bytesPerGroup;
  }

  double processorPercent() {
    return nanosecondsPerGroup / 1e7;
  }

  /** Returns the processor time for placing all groups again at each join and each leave. */
  double placementPercent() {
    double changesPerSecond = 2.0 * FullSize.RESTARTS_PER_DAY / FullSize.SECONDS_PER_DAY;
    return placementMilliseconds * changesPerSecond / 10;
  }

  double placementMegabytes() {
    return placementMegabytes;
  }

  private void measureMessages() {
    List<String> names = List.of(FleetNames.vm(1).value(), "database-0001");
    int heartbeat = MessageSize.of(names, 1);
    int fence = MessageSize.of(List.of("database-0001", "endpoint-1"), 2);
    double heartbeats = WATCHERS * 1e9 / HomeMonitorTimes.STANDARD.heartbeatInterval().toNanos();
    double fences = ENDPOINTS.size() * 1e9 / LeaseTimes.STANDARD.renewalInterval().toNanos();
    bytesPerGroup = heartbeats * heartbeat + fences * fence;
    readings.add(reading("heartbeats of a home", "each group", "1/s", heartbeats));
    readings.add(reading("size of a heartbeat", "each group", "B", heartbeat));
    readings.add(reading("renewals at the endpoints", "each group", "1/s", fences));
    readings.add(reading("size of a renewal", "each group", "B", fence));
    readings.add(reading("bytes sent by a home", "each group", "B/s", bytesPerGroup));
  }

  private void measureRenewals() {
    PausedClock clock = new PausedClock();
    LeaseStateMachine lease = acquired(clock);
    renew(lease, clock, RENEWALS);
    long start = ProcessorTime.now();
    renew(lease, clock, RENEWALS);
    double each = (ProcessorTime.now() - start) / (double) RENEWALS;
    nanosecondsPerGroup = each * 1e9 / LeaseTimes.STANDARD.renewalInterval().toNanos();
    readings.add(reading("processor time of a renewal", "three endpoints", "ns", each));
  }

  private static void renew(LeaseStateMachine lease, PausedClock clock, int times) {
    for (int time = 0; time < times; time++) {
      clock.advance(LeaseTimes.STANDARD.renewalInterval());
      confirm(lease, lease.step(new LeaseInput.Tick()), clock);
    }
  }

  private static LeaseStateMachine acquired(PausedClock clock) {
    LeaseStateMachine lease =
        new LeaseStateMachine(
            FleetNames.vm(0),
            new GroupId("database-0001"),
            clock,
            LeaseTimes.STANDARD,
            () -> new WriteId("write"));
    lease.step(new LeaseInput.Acquire("measure", FleetNames.vms(2), ENDPOINTS));
    lease.step(new LeaseInput.RowRead(Optional.empty()));
    confirm(lease, lease.step(new LeaseInput.WriteApplied(new WriteId("write"))), clock);
    return lease;
  }

  private static void confirm(
      LeaseStateMachine lease, List<LeaseAction> actions, PausedClock clock) {
    for (LeaseAction action : actions) {
      if (action instanceof LeaseAction.Fence fence) {
        lease.step(
            new LeaseInput.FenceAnswered(
                fence.endpoint(),
                fence.token(),
                fence.token(),
                FencingToken.NONE,
                clock.instant()));
      }
    }
  }

  private static Object machines() {
    PausedClock clock = new PausedClock();
    List<LeaseStateMachine> machines = new ArrayList<>();
    for (int machine = 0; machine < MACHINES; machine++) {
      machines.add(acquired(clock));
    }
    return machines;
  }

  private void measurePlacement(int groups) {
    placementMegabytes =
        Heap.bytesOf(
                () ->
                    PlacementTable.of(FleetNames.groups(groups, 0))
                        .withMembers(FleetNames.members(FullSize.NODES)))
            / 1e6;
    List<Member> all = FleetNames.members(FullSize.NODES);
    List<Member> fewer = FleetNames.members(FullSize.NODES - 1);
    PlacementTable table = PlacementTable.of(FleetNames.groups(groups, 0)).withMembers(all);
    for (int round = 0; round < PLACEMENTS; round++) {
      table = table.withMembers(round % 2 == 0 ? fewer : all);
    }
    long start = ProcessorTime.now();
    for (int round = 0; round < PLACEMENTS; round++) {
      table = table.withMembers(round % 2 == 0 ? fewer : all);
    }
    placementMilliseconds = (ProcessorTime.now() - start) / 1e6 / PLACEMENTS;
    String variant = groups + " groups, 6,500 members";
    readings.add(reading("placement memory", variant, "MB", placementMegabytes));
    readings.add(reading("placement after a join or leave", variant, "ms", placementMilliseconds));
  }

  private static Reading reading(String measure, String variant, String unit, double value) {
    return new Reading(measure, variant, unit, value, "");
  }
}

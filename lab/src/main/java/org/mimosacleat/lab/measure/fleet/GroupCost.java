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

/** Measures the cost of a group for its home, and the cost of the placement of all groups. */
final class GroupCost {
  private static final Set<EndpointId> ENDPOINTS =
      Set.of(
          new EndpointId("endpoint-1"), new EndpointId("endpoint-2"), new EndpointId("endpoint-3"));
  private static final int MONITORS_PER_HOME = 2;
  private static final int RENEWALS = 200_000;
  private static final int PLACEMENTS = 20;
  private static final int LEASES = 1_000;
  private static final List<Integer> GROUP_COUNTS = List.of(100, 800, 3_200, FullSize.DATABASES);

  private final List<Reading> readings = new ArrayList<>();
  private double placementMegabytes;
  private double placementMilliseconds;
  private double bytesPerSecondPerGroup;
  private double nanosecondsPerSecondPerGroup;

  List<Reading> measure() {
    measureMessages();
    measureRenewals();
    double bytesPerLease = Heap.bytesOf(GroupCost::acquiredLeases) / (double) LEASES;
    readings.add(reading("memory of a lease", "each group", "bytes", bytesPerLease));
    for (int groups : GROUP_COUNTS) {
      measurePlacement(groups);
    }
    return readings;
  }

  double bytesPerSecond() {
    return bytesPerSecondPerGroup;
  }

  double processorPercent() {
    return nanosecondsPerSecondPerGroup / 1e7;
  }

  /** Returns the processor time for placing all groups anew at each join and each leave. */
  double placementPercent() {
    double changesPerSecond = 2.0 * FullSize.RESTARTS_PER_DAY / FullSize.SECONDS_PER_DAY;
    return placementMilliseconds * changesPerSecond / 10;
  }

  double placementMegabytes() {
    return placementMegabytes;
  }

  private void measureMessages() {
    List<String> names = List.of(FleetNames.vm(1).value(), "database-0001");
    int heartbeatBytes = MessageSize.of(names, 1);
    int renewalBytes = MessageSize.of(List.of("database-0001", "endpoint-1"), 2);
    double heartbeatsPerSecond =
        MONITORS_PER_HOME * 1e9 / HomeMonitorTimes.STANDARD.heartbeatInterval().toNanos();
    double renewalsPerSecond =
        ENDPOINTS.size() * 1e9 / LeaseTimes.STANDARD.renewalInterval().toNanos();
    bytesPerSecondPerGroup =
        heartbeatsPerSecond * heartbeatBytes + renewalsPerSecond * renewalBytes;
    readings.add(reading("heartbeats of a home", "each group", "1/s", heartbeatsPerSecond));
    readings.add(reading("size of a heartbeat", "each group", "B", heartbeatBytes));
    readings.add(reading("renewals at the endpoints", "each group", "1/s", renewalsPerSecond));
    readings.add(reading("size of a renewal", "each group", "B", renewalBytes));
    readings.add(reading("bytes sent by a home", "each group", "B/s", bytesPerSecondPerGroup));
  }

  private void measureRenewals() {
    PausedClock clock = new PausedClock();
    LeaseStateMachine lease = acquired(clock);
    renew(lease, clock, RENEWALS);
    long start = ProcessorTime.now();
    renew(lease, clock, RENEWALS);
    double nanosecondsPerRenewal = (ProcessorTime.now() - start) / (double) RENEWALS;
    nanosecondsPerSecondPerGroup =
        nanosecondsPerRenewal * 1e9 / LeaseTimes.STANDARD.renewalInterval().toNanos();
    readings.add(
        reading("processor time of a renewal", "three endpoints", "ns", nanosecondsPerRenewal));
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

  private static Object acquiredLeases() {
    PausedClock clock = new PausedClock();
    List<LeaseStateMachine> leases = new ArrayList<>();
    for (int index = 0; index < LEASES; index++) {
      leases.add(acquired(clock));
    }
    return leases;
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

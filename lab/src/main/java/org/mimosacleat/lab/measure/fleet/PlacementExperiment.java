package org.mimosacleat.lab.measure.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.placement.Member;
import org.mimosacleat.core.placement.PlacedGroup;
import org.mimosacleat.core.placement.PlacementTable;
import org.mimosacleat.lab.measure.Deployment;
import org.mimosacleat.lab.measure.Experiment;
import org.mimosacleat.lab.measure.Reading;

/** Measures the balance, moves and cost of home placement, for a deployment and at full size. */
public final class PlacementExperiment implements Experiment {
  private static final int FULL_MEMBERS = 6_500;
  private static final int FULL_GROUPS = 7_100;
  private static final int CHANGES = 40;
  private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

  @Override
  public String name() {
    return "placement";
  }

  @Override
  public List<Reading> run(Deployment deployment, long seed) {
    List<Reading> readings = new ArrayList<>();
    measure(readings, deployment.name(), deployment.proxies(), deployment.groups(), seed);
    measure(readings, "full size", FULL_MEMBERS, FULL_GROUPS, seed);
    return readings;
  }

  private static void measure(
      List<Reading> readings, String size, int memberCount, int groupCount, long seed) {
    List<Member> members = FleetNames.members(memberCount);
    List<PlacedGroup> groups = FleetNames.groups(groupCount, seed);
    long start = ProcessorTime.now();
    final PlacementTable table = PlacementTable.of(groups).withMembers(members);
    double buildMilliseconds = (ProcessorTime.now() - start) / NANOSECONDS_PER_MILLISECOND;

    Map<GroupId, VmId> plainHashHomes = plainHomes(groups, members);
    readings.add(
        reading("groups of the fullest member", size, "groups", maxGroupsPerMember(homes(table))));
    readings.add(
        reading(
            "groups of the fullest member",
            size + ", plain hash",
            "groups",
            maxGroupsPerMember(plainHashHomes)));
    readings.add(reading("table built from nothing", size, "ms", buildMilliseconds));
    measureChanges(readings, size, table, members);
  }

  private static void measureChanges(
      List<Reading> readings, String size, PlacementTable table, List<Member> members) {
    long moved = 0;
    long mustMove = 0;
    long modulusMoved = 0;
    long spentNanoseconds = 0;
    Map<GroupId, VmId> before = homes(table);
    int step = Math.max(1, members.size() / CHANGES);
    int changes = 0;
    for (int leaving = 0; leaving < members.size(); leaving += step) {
      List<Member> remaining = new ArrayList<>(members);
      final VmId leavingVm = remaining.remove(leaving).vm();
      long start = ProcessorTime.now();
      PlacementTable tableWithout = table.withMembers(remaining);
      PlacementTable restored = tableWithout.withMembers(members);
      spentNanoseconds += ProcessorTime.now() - start;
      changes += 2;
      Map<GroupId, VmId> after = homes(tableWithout);
      moved += countDifferences(before, after) + countDifferences(after, homes(restored));
      mustMove += 2 * before.values().stream().filter(leavingVm::equals).count();
      modulusMoved +=
          2 * countDifferences(modulusHomes(table, members), modulusHomes(table, remaining));
    }
    int groups = before.size();
    double share = 100.0 / (groups * (double) changes);
    readings.add(reading("groups moved by a join or leave", size, "%", moved * share));
    readings.add(
        reading("groups moved by a join or leave", size + ", least", "%", mustMove * share));
    readings.add(
        reading("groups moved by a join or leave", size + ", modulus", "%", modulusMoved * share));
    double milliseconds = spentNanoseconds / NANOSECONDS_PER_MILLISECOND / changes;
    readings.add(reading("table after a join or leave", size, "ms", milliseconds));
  }

  private static Reading reading(String measure, String variant, String unit, double value) {
    return new Reading(measure, variant, unit, value, "");
  }

  private static Map<GroupId, VmId> homes(PlacementTable table) {
    Map<GroupId, VmId> homes = new HashMap<>();
    table.groups().forEach(group -> homes.put(group, table.preferred(group).orElseThrow()));
    return homes;
  }

  private static Map<GroupId, VmId> plainHomes(List<PlacedGroup> groups, List<Member> members) {
    Map<GroupId, VmId> homes = new HashMap<>();
    for (PlacedGroup group : groups) {
      PlacementTable single = PlacementTable.of(List.of(group)).withMembers(members);
      homes.put(group.group(), single.preferred(group.group()).orElseThrow());
    }
    return homes;
  }

  private static Map<GroupId, VmId> modulusHomes(PlacementTable table, List<Member> members) {
    Map<GroupId, VmId> homes = new HashMap<>();
    for (GroupId group : table.groups()) {
      int index = Math.floorMod(group.hashCode(), members.size());
      homes.put(group, members.get(index).vm());
    }
    return homes;
  }

  private static long maxGroupsPerMember(Map<GroupId, VmId> homes) {
    Map<VmId, Integer> loads = new HashMap<>();
    homes.values().forEach(vm -> loads.merge(vm, 1, Integer::sum));
    return loads.values().stream().mapToInt(load -> load).max().orElse(0);
  }

  private static long countDifferences(Map<GroupId, VmId> before, Map<GroupId, VmId> after) {
    return before.entrySet().stream()
        .filter(entry -> !entry.getValue().equals(after.get(entry.getKey())))
        .count();
  }
}

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

/** Measures balance, movement and cost of the placement of homes, today and at full size. */
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
    double built = (ProcessorTime.now() - start) / NANOSECONDS_PER_MILLISECOND;

    Map<GroupId, VmId> plain = plainHomes(groups, members);
    readings.add(reading("groups of the fullest member", size, "groups", fullest(homes(table))));
    readings.add(
        reading("groups of the fullest member", size + ", plain hash", "groups", fullest(plain)));
    readings.add(reading("table built from nothing", size, "ms", built));
    measureChanges(readings, size, table, members);
  }

  private static void measureChanges(
      List<Reading> readings, String size, PlacementTable table, List<Member> members) {
    long moved = 0;
    long mustMove = 0;
    long modulusMoved = 0;
    long spent = 0;
    Map<GroupId, VmId> before = homes(table);
    int step = Math.max(1, members.size() / CHANGES);
    int changes = 0;
    for (int leaving = 0; leaving < members.size(); leaving += step) {
      List<Member> rest = new ArrayList<>(members);
      final VmId left = rest.remove(leaving).vm();
      long start = ProcessorTime.now();
      PlacementTable without = table.withMembers(rest);
      PlacementTable again = without.withMembers(members);
      spent += ProcessorTime.now() - start;
      changes += 2;
      Map<GroupId, VmId> after = homes(without);
      moved += difference(before, after) + difference(after, homes(again));
      mustMove += 2 * before.values().stream().filter(left::equals).count();
      modulusMoved += 2 * difference(modulus(table, members), modulus(table, rest));
    }
    int groups = before.size();
    double share = 100.0 / (groups * (double) changes);
    readings.add(reading("groups moved by a join or leave", size, "%", moved * share));
    readings.add(
        reading("groups moved by a join or leave", size + ", least", "%", mustMove * share));
    readings.add(
        reading("groups moved by a join or leave", size + ", modulus", "%", modulusMoved * share));
    double milliseconds = spent / NANOSECONDS_PER_MILLISECOND / changes;
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

  private static Map<GroupId, VmId> modulus(PlacementTable table, List<Member> members) {
    Map<GroupId, VmId> homes = new HashMap<>();
    for (GroupId group : table.groups()) {
      int index = Math.floorMod(group.hashCode(), members.size());
      homes.put(group, members.get(index).vm());
    }
    return homes;
  }

  private static long fullest(Map<GroupId, VmId> homes) {
    Map<VmId, Integer> loads = new HashMap<>();
    homes.values().forEach(vm -> loads.merge(vm, 1, Integer::sum));
    return loads.values().stream().mapToInt(load -> load).max().orElse(0);
  }

  private static long difference(Map<GroupId, VmId> before, Map<GroupId, VmId> after) {
    return before.entrySet().stream()
        .filter(entry -> !entry.getValue().equals(after.get(entry.getKey())))
        .count();
  }
}

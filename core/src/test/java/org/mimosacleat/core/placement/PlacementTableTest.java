package org.mimosacleat.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;

class PlacementTableTest {
  private static final int ZONES = 4;

  @Test
  void candidatesAreInDifferentZones() {
    PlacementTable table = table(30).withMembers(members(14));

    for (GroupId group : table.groups()) {
      List<VmId> candidates = table.candidates(group);
      Set<Integer> zones = new HashSet<>();
      candidates.forEach(vm -> zones.add(zoneIndex(vm)));
      assertEquals(ZONES, candidates.size());
      assertEquals(ZONES, zones.size());
    }
  }

  @Test
  void threeGroupsOnFourteenMembersHaveThreeHomes() {
    for (int run = 0; run < 50; run++) {
      String prefix = "run" + run + "-";
      PlacementTable table =
          PlacementTable.of(
                  IntStream.range(0, 3)
                      .mapToObj(index -> new PlacedGroup(new GroupId(prefix + index)))
                      .toList())
              .withMembers(members(14));
      Set<VmId> homes = new HashSet<>();
      table.groups().forEach(group -> homes.add(table.preferred(group).orElseThrow()));
      assertEquals(3, homes.size(), prefix);
    }
  }

  @Test
  void candidatesAreOnlyInTheZonesOfTheGroup() {
    AvailabilityZone only = zone(2);
    PlacedGroup group = new PlacedGroup(new GroupId("g"), Set.of(only));
    PlacementTable table = PlacementTable.of(List.of(group)).withMembers(members(12));

    assertEquals(1, table.candidates(group.group()).size());
    assertEquals(2, zoneIndex(table.preferred(group.group()).orElseThrow()));
  }

  @Test
  void memberOfWeightThreeWinsThreeTimesAsOften() {
    List<Member> members = new ArrayList<>(members(8));
    members.set(0, new Member(members.get(0).vm(), members.get(0).zone(), 3));
    PlacementTable table = table(5_000).withMembers(members);

    long heavy = countHomes(table, members.get(0).vm());
    long light = countHomes(table, members.get(1).vm());
    assertTrue(heavy > 2 * light, heavy + " homes with weight three, with weight one: " + light);
  }

  @Property(tries = 40, seed = "71")
  void incrementallyUpdatedTableEqualsNewlyBuiltTable(
      @ForAll @IntRange(min = 1, max = 40) int first,
      @ForAll @IntRange(min = 0, max = 40) int second) {
    PlacementTable changed = table(60).withMembers(members(first)).withMembers(members(second));
    PlacementTable fresh = table(60).withMembers(members(second));

    fresh
        .groups()
        .forEach(group -> assertEquals(fresh.candidates(group), changed.candidates(group)));
  }

  @Property(tries = 20, seed = "72")
  void memberRemovalMovesFewGroupsOfOtherMembers(
      @ForAll @IntRange(min = 0, max = 39) int removedIndex) {
    List<Member> before = members(40);
    List<Member> after = new ArrayList<>(before);
    Member removed = after.remove(removedIndex);
    PlacementTable first = table(800).withMembers(before);

    long mustMove = countHomes(first, removed.vm());
    assertTrue(countMoved(first, first.withMembers(after)) <= 2 * mustMove + 8);
    assertTrue(
        countMovedByModulus(before, after) > 2 * mustMove + 8,
        "placement by modulus moves nearly all groups");
  }

  @Test
  void homeMovesOnlyAfterTheMembersWereStable() {
    PlacementTable table = table(1).withMembers(members(8));
    GroupId group = table.groups().getFirst();
    VmId preferred = table.preferred(group).orElseThrow();
    VmId other = table.candidates(group).get(1);
    HomePolicy policy = new HomePolicy(other, Duration.ofSeconds(30));

    HomeDecision early =
        policy.decide(group, Optional.of(other), true, true, table, Duration.ofSeconds(29));
    HomeDecision late =
        policy.decide(group, Optional.of(other), true, true, table, Duration.ofSeconds(30));
    HomeDecision restarted =
        policy.decide(group, Optional.of(other), false, true, table, Duration.ZERO);

    assertEquals(new HomeDecision.NoChange(), early);
    assertEquals(new HomeDecision.HandOver(preferred), late);
    assertTrue(restarted instanceof HomeDecision.Acquire);
  }

  @Test
  void errorForAnUnknownGroupContainsItsName() {
    IllegalArgumentException error =
        assertThrows(
            IllegalArgumentException.class, () -> table(1).candidates(new GroupId("nowhere")));

    assertTrue(error.getMessage().contains("nowhere"));
    assertNotEquals(0, table(1).groups().size());
  }

  private static long countMoved(PlacementTable before, PlacementTable after) {
    return before.groups().stream()
        .filter(group -> !before.preferred(group).equals(after.preferred(group)))
        .count();
  }

  private static long countMovedByModulus(List<Member> before, List<Member> after) {
    return table(800).groups().stream()
        .filter(group -> !homeByModulus(group, before).equals(homeByModulus(group, after)))
        .count();
  }

  private static VmId homeByModulus(GroupId group, List<Member> members) {
    return members.get(Math.floorMod(group.hashCode(), members.size())).vm();
  }

  private static long countHomes(PlacementTable table, VmId vm) {
    return table.groups().stream()
        .filter(group -> table.preferred(group).orElseThrow().equals(vm))
        .count();
  }

  private static PlacementTable table(int groups) {
    return PlacementTable.of(
        IntStream.range(0, groups)
            .mapToObj(index -> new PlacedGroup(new GroupId("group-" + index)))
            .toList());
  }

  private static List<Member> members(int count) {
    return IntStream.range(0, count)
        .mapToObj(index -> new Member(new VmId("vm-" + index), zone(index % ZONES)))
        .toList();
  }

  private static AvailabilityZone zone(int index) {
    return new AvailabilityZone("zone-" + index);
  }

  private static int zoneIndex(VmId vm) {
    return Integer.parseInt(vm.value().substring("vm-".length())) % ZONES;
  }
}

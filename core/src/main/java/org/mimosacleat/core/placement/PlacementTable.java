package org.mimosacleat.core.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;

/**
 * Says which VMs should be the home of each group, best first, each in another availability zone.
 * Every VM with the same members computes the same table, so nothing need be agreed; the lease
 * decides who is the home, and this table only who should be.
 *
 * <p>Start from {@link #of}, then call {@link #withMembers} on each change of the members and
 * publish the new table. Tables are immutable.
 */
public final class PlacementTable {
  /** How far above its even share of the groups a member may be loaded, as a factor. */
  public static final double LOAD_BOUND = 1.25;

  private final List<PlacedGroup> groups;
  private final long[] groupHashes;
  private final Map<GroupId, Integer> indexes;
  private final Map<AvailabilityZone, ZoneWinners> zones;
  private final List<List<VmId>> candidates;

  private PlacementTable(
      List<PlacedGroup> groups,
      long[] groupHashes,
      Map<GroupId, Integer> indexes,
      Map<AvailabilityZone, ZoneWinners> zones,
      List<List<VmId>> candidates) {
    this.groups = groups;
    this.groupHashes = groupHashes;
    this.indexes = indexes;
    this.zones = zones;
    this.candidates = candidates;
  }

  /** Makes a table of groups without any members yet. */
  public static PlacementTable of(Collection<PlacedGroup> placed) {
    List<PlacedGroup> groups =
        placed.stream().sorted(Comparator.comparing(PlacedGroup::group)).toList();
    Map<GroupId, Integer> indexes = new HashMap<>();
    for (int index = 0; index < groups.size(); index++) {
      GroupId group = groups.get(index).group();
      if (indexes.put(group, index) != null) {
        throw new IllegalArgumentException("group " + group + " is listed twice");
      }
    }
    long[] hashes =
        groups.stream().mapToLong(group -> Rendezvous.hash(group.group().value())).toArray();
    List<List<VmId>> none = new ArrayList<>();
    groups.forEach(group -> none.add(List.of()));
    return new PlacementTable(groups, hashes, indexes, Map.of(), none);
  }

  /** Returns the table for other members; work is done only for members that differ. */
  public PlacementTable withMembers(Collection<Member> members) {
    Map<AvailabilityZone, Set<RankedMember>> byZone = new TreeMap<>();
    for (Member member : members) {
      byZone.computeIfAbsent(member.zone(), zone -> new HashSet<>()).add(new RankedMember(member));
    }
    Map<AvailabilityZone, ZoneWinners> next = new LinkedHashMap<>();
    byZone.forEach((zone, inZone) -> next.put(zone, zoneWith(zone, inZone)));
    LoadBound bound = new LoadBound(groups.size(), members, LOAD_BOUND);
    List<List<VmId>> ranked = new ArrayList<>(groups.size());
    for (int index = 0; index < groups.size(); index++) {
      ranked.add(bound.place(rank(index, next)));
    }
    return new PlacementTable(groups, groupHashes, indexes, next, ranked);
  }

  /**
   * Returns the VMs that should be the home of a group, best first, at most one per zone; empty
   * while there are no members.
   *
   * @throws IllegalArgumentException if the group is not in the table
   */
  public List<VmId> candidates(GroupId group) {
    Integer index = indexes.get(group);
    if (index == null) {
      throw new IllegalArgumentException("group " + group + " is not in the placement table");
    }
    return candidates.get(index);
  }

  /** Returns the VM that should be the home of a group, if there are any members. */
  public Optional<VmId> preferred(GroupId group) {
    return candidates(group).stream().findFirst();
  }

  /** Returns the groups of the table in the order of their ids. */
  public List<GroupId> groups() {
    return groups.stream().map(PlacedGroup::group).toList();
  }

  private ZoneWinners zoneWith(AvailabilityZone zone, Set<RankedMember> members) {
    Checks.notNull("availability zone", zone);
    ZoneWinners current = zones.get(zone);
    ZoneWinners start = current == null ? ZoneWinners.empty(groups.size()) : current;
    return start.withMembers(members, groupHashes);
  }

  private List<Member> rank(int index, Map<AvailabilityZone, ZoneWinners> tables) {
    PlacedGroup group = groups.get(index);
    List<Candidate> winners = new ArrayList<>(tables.size());
    tables.forEach(
        (zone, table) -> {
          if (group.allows(zone)) {
            winners.add(table.winner(index));
          }
        });
    Candidate[] sorted = winners.toArray(Candidate[]::new);
    Arrays.sort(sorted, Comparator.comparingLong(Candidate::score).reversed());
    return Arrays.stream(sorted).map(candidate -> candidate.member().member()).toList();
  }
}

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
 * Ranks the VMs that should be the home of each group, with at most one VM per availability zone.
 * All VMs that see the same members compute the same table without coordination. The table only
 * expresses which VM should be the home; the lease decides which VM is.
 *
 * <p>Create a table with {@link #of}, call {@link #withMembers} on each change of the members and
 * publish the new table. Tables are immutable.
 */
public final class PlacementTable {
  /** The maximum load of a member, as a multiple of its proportional share of the groups. */
  public static final double MAX_LOAD_FACTOR = 1.25;

  private final List<PlacedGroup> groups;
  private final long[] groupHashes;
  private final Map<GroupId, Integer> indexes;
  private final Map<AvailabilityZone, ZoneWinners> zoneWinners;
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
    this.zoneWinners = zones;
    this.candidates = candidates;
  }

  /** Creates a table of groups without any members. */
  public static PlacementTable of(Collection<PlacedGroup> placed) {
    List<PlacedGroup> groups =
        placed.stream().sorted(Comparator.comparing(PlacedGroup::group)).toList();
    Map<GroupId, Integer> indexes = new HashMap<>();
    for (int index = 0; index < groups.size(); index++) {
      GroupId group = groups.get(index).group();
      if (indexes.put(group, index) != null) {
        throw new IllegalArgumentException("duplicate group " + group + " in the placement table");
      }
    }
    long[] hashes =
        groups.stream().mapToLong(group -> RendezvousHash.hash(group.group().value())).toArray();
    List<List<VmId>> noCandidates = new ArrayList<>();
    groups.forEach(group -> noCandidates.add(List.of()));
    return new PlacementTable(groups, hashes, indexes, Map.of(), noCandidates);
  }

  /** Returns the table for other members; scores are computed only where members differ. */
  public PlacementTable withMembers(Collection<Member> members) {
    Map<AvailabilityZone, Set<HashedMember>> byZone = new TreeMap<>();
    for (Member member : members) {
      byZone.computeIfAbsent(member.zone(), zone -> new HashSet<>()).add(new HashedMember(member));
    }
    Map<AvailabilityZone, ZoneWinners> next = new LinkedHashMap<>();
    byZone.forEach((zone, inZone) -> next.put(zone, updatedZoneWinners(zone, inZone)));
    BoundedLoadAssigner assigner = new BoundedLoadAssigner(groups.size(), members, MAX_LOAD_FACTOR);
    List<List<VmId>> ranked = new ArrayList<>(groups.size());
    for (int index = 0; index < groups.size(); index++) {
      ranked.add(assigner.assign(rank(index, next)));
    }
    return new PlacementTable(groups, groupHashes, indexes, next, ranked);
  }

  /**
   * Returns the VMs that should be the home of a group in order of preference, at most one per
   * zone; empty if there are no members in its zones.
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

  /** Returns the VM that should be the home of a group; empty if there are no candidates. */
  public Optional<VmId> preferred(GroupId group) {
    return candidates(group).stream().findFirst();
  }

  /** Returns the groups of the table, sorted by id. */
  public List<GroupId> groups() {
    return groups.stream().map(PlacedGroup::group).toList();
  }

  private ZoneWinners updatedZoneWinners(AvailabilityZone zone, Set<HashedMember> members) {
    Checks.notNull("availability zone", zone);
    ZoneWinners current = zoneWinners.get(zone);
    ZoneWinners base = current == null ? ZoneWinners.empty(groups.size()) : current;
    return base.withMembers(members, groupHashes);
  }

  private List<Member> rank(int index, Map<AvailabilityZone, ZoneWinners> winnersByZone) {
    PlacedGroup group = groups.get(index);
    List<Candidate> winners = new ArrayList<>(winnersByZone.size());
    winnersByZone.forEach(
        (zone, winnersInZone) -> {
          if (group.allows(zone)) {
            winners.add(winnersInZone.winner(index));
          }
        });
    Candidate[] sorted = winners.toArray(Candidate[]::new);
    Arrays.sort(sorted, Comparator.comparingLong(Candidate::score).reversed());
    return Arrays.stream(sorted).map(candidate -> candidate.member().member()).toList();
  }
}

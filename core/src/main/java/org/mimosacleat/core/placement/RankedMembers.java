package org.mimosacleat.core.placement;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.core.id.VmId;

/** Ranks members for a group; all VMs that see the same members get the same order. */
public final class RankedMembers {
  private static final char NAME_SEPARATOR = '\n';

  private RankedMembers() {}

  /** Returns the VMs of the members by descending rendezvous score for the group. */
  public static List<VmId> of(GroupId group, Collection<Member> members) {
    return ranked(RendezvousHash.hash(group.value()), members);
  }

  /** Returns the VMs of the members by descending rendezvous score for a group and a team. */
  public static List<VmId> of(GroupId group, TeamId team, Collection<Member> members) {
    String name = group.value() + NAME_SEPARATOR + team.value();
    return ranked(RendezvousHash.hash(name), members);
  }

  private static List<VmId> ranked(long groupHash, Collection<Member> members) {
    return members.stream()
        .map(HashedMember::new)
        .sorted(Comparator.comparingLong((HashedMember member) -> -member.score(groupHash)))
        .map(hashed -> hashed.member().vm())
        .toList();
  }

  /** Returns a number from 0 to {@code count - 1} that spreads VMs evenly for each group. */
  public static int spread(GroupId group, VmId vm, int count) {
    long hash = RendezvousHash.score(RendezvousHash.hash(group.value()), vmHash(vm), 1);
    return (int) Long.remainderUnsigned(hash, count);
  }

  private static long vmHash(VmId vm) {
    return RendezvousHash.hash(vm.value());
  }
}

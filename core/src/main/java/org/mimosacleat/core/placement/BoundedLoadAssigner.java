package org.mimosacleat.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mimosacleat.core.id.VmId;

/**
 * Assigns groups to members in sequence and bounds the load of each member: the number of groups of
 * which it is the first candidate (bounded-load hashing). With hashing alone the most loaded of
 * 6,500 members gets several times the mean.
 */
final class BoundedLoadAssigner {
  private final int groups;
  private final double maxLoadFactor;
  private final long totalWeight;
  private final Map<VmId, Integer> groupsPerMember = new HashMap<>();

  BoundedLoadAssigner(int groups, Collection<Member> members, double factor) {
    this.groups = groups;
    this.maxLoadFactor = factor;
    this.totalWeight = members.stream().mapToLong(Member::weight).sum();
  }

  /** Returns the ranked members with the first one below its maximum load moved to the front. */
  List<VmId> assign(List<Member> ranked) {
    List<VmId> candidates = new ArrayList<>(ranked.size());
    ranked.forEach(member -> candidates.add(member.vm()));
    if (ranked.isEmpty()) {
      return List.copyOf(candidates);
    }
    VmId home = firstBelowMaxLoad(ranked).vm();
    candidates.remove(home);
    candidates.addFirst(home);
    groupsPerMember.merge(home, 1, Integer::sum);
    return List.copyOf(candidates);
  }

  private Member firstBelowMaxLoad(List<Member> ranked) {
    for (Member member : ranked) {
      if (groupsPerMember.getOrDefault(member.vm(), 0) < maxLoad(member)) {
        return member;
      }
    }
    return ranked.getFirst();
  }

  private double maxLoad(Member member) {
    return Math.ceil(maxLoadFactor * groups * member.weight() / totalWeight);
  }
}

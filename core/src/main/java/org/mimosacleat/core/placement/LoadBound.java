package org.mimosacleat.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mimosacleat.core.id.VmId;

/**
 * Places groups one after another so that no member is the first candidate of many more groups than
 * its even share. Hashing alone gives the fullest of 6,500 members several times the mean.
 */
final class LoadBound {
  private final int groups;
  private final double factor;
  private final long totalWeight;
  private final Map<VmId, Integer> loads = new HashMap<>();

  LoadBound(int groups, Collection<Member> members, double factor) {
    this.groups = groups;
    this.factor = factor;
    this.totalWeight = members.stream().mapToLong(Member::weight).sum();
  }

  /** Returns the ranked members with the one that has room moved to the front. */
  List<VmId> place(List<Member> ranked) {
    List<VmId> order = new ArrayList<>(ranked.size());
    ranked.forEach(member -> order.add(member.vm()));
    if (ranked.isEmpty()) {
      return List.copyOf(order);
    }
    VmId home = firstWithRoom(ranked).vm();
    order.remove(home);
    order.addFirst(home);
    loads.merge(home, 1, Integer::sum);
    return List.copyOf(order);
  }

  private Member firstWithRoom(List<Member> ranked) {
    for (Member member : ranked) {
      if (loads.getOrDefault(member.vm(), 0) < bound(member)) {
        return member;
      }
    }
    return ranked.getFirst();
  }

  private double bound(Member member) {
    return Math.ceil(factor * groups * member.weight() / totalWeight);
  }
}

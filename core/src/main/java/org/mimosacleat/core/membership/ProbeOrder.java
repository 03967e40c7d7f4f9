package org.mimosacleat.core.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Iterator;
import java.util.List;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.mimosacleat.core.id.VmId;

/** Iterates over the members in random order and reshuffles them after each full round. */
final class ProbeOrder {
  private final RandomGenerator random;
  private Iterator<VmId> remaining = Collections.emptyIterator();

  ProbeOrder(RandomGenerator random) {
    this.random = random;
  }

  /** Returns the next eligible member, or null if there is none. */
  VmId next(MemberTable table, Predicate<MemberEntry> isEligible) {
    for (int round = 0; round < 2; round++) {
      while (remaining.hasNext()) {
        VmId vm = remaining.next();
        MemberEntry entry = table.get(vm);
        if (entry != null && isEligible.test(entry)) {
          return vm;
        }
      }
      remaining = shuffled(table).iterator();
    }
    return null;
  }

  private List<VmId> shuffled(MemberTable table) {
    List<VmId> order = new ArrayList<>(table.size());
    table.entries().forEach(entry -> order.add(entry.record().vm()));
    Collections.sort(order);
    for (int last = order.size() - 1; last > 0; last--) {
      Collections.swap(order, last, random.nextInt(last + 1));
    }
    return order;
  }
}

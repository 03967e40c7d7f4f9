package org.mimosacleat.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.mimosacleat.core.id.VmId;

/**
 * Records waiting to be sent along with messages: those sent the fewest times first, and of these
 * the dead and the suspects before the living.
 */
final class UpdateQueue {
  private static final int SENDS_PER_DECADE = 4;

  private final TreeSet<Update> updates =
      new TreeSet<>(
          Comparator.comparingInt(Update::sends)
              .thenComparing(Update::status, Comparator.reverseOrder())
              .thenComparingLong(Update::order));
  private final Map<VmId, Update> byVm = new HashMap<>();
  private long orders;

  /** Queues a record in place of any earlier one about the same VM. */
  void add(MemberRecord record) {
    Update earlier = byVm.remove(record.vm());
    if (earlier != null) {
      updates.remove(earlier);
    }
    put(new Update(record, 0, orders++));
  }

  /**
   * Takes up to {@code maximum} records; each is given out about four times for each decimal digit
   * of the number of members, which reaches all of them with near certainty.
   */
  List<MemberRecord> take(int maximum, int members) {
    int limit = SENDS_PER_DECADE * (int) Math.ceil(Math.log10(members + 1.0));
    List<MemberRecord> taken = new ArrayList<>();
    List<Update> again = new ArrayList<>();
    while (taken.size() < maximum && !updates.isEmpty()) {
      Update update = updates.pollFirst();
      byVm.remove(update.record().vm());
      taken.add(update.record());
      if (update.sends() + 1 < limit) {
        again.add(new Update(update.record(), update.sends() + 1, update.order()));
      }
    }
    again.forEach(this::put);
    return taken;
  }

  private void put(Update update) {
    updates.add(update);
    byVm.put(update.record().vm(), update);
  }

  private record Update(MemberRecord record, int sends, long order) {
    MemberStatus status() {
      return record.status();
    }
  }
}

package org.mimosacleat.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.mimosacleat.core.id.VmId;

/**
 * The records to be piggybacked on messages. Records sent the fewest times come first, and among
 * these dead and suspected VMs come before live ones.
 */
final class UpdateQueue {
  private static final int SENDS_PER_DECIMAL_DIGIT = 4;

  private final TreeSet<Update> updates =
      new TreeSet<>(
          Comparator.comparingInt(Update::sends)
              .thenComparing(Update::status, Comparator.reverseOrder())
              .thenComparingLong(Update::position));
  private final Map<VmId, Update> byVm = new HashMap<>();
  private long nextPosition;

  /** Queues a record and removes an earlier one of the same VM. */
  void add(MemberRecord record) {
    Update earlier = byVm.remove(record.vm());
    if (earlier != null) {
      updates.remove(earlier);
    }
    put(new Update(record, 0, nextPosition++));
  }

  /**
   * Returns up to {@code maximum} records to send now. Each record is returned about four times per
   * decimal digit of the number of members, which reaches all of them almost certainly.
   */
  List<MemberRecord> take(int maximum, int members) {
    int maxSends = SENDS_PER_DECIMAL_DIGIT * (int) Math.ceil(Math.log10(members + 1.0));
    List<MemberRecord> taken = new ArrayList<>();
    List<Update> requeued = new ArrayList<>();
    while (taken.size() < maximum && !updates.isEmpty()) {
      Update update = updates.pollFirst();
      byVm.remove(update.record().vm());
      taken.add(update.record());
      if (update.sends() + 1 < maxSends) {
        requeued.add(new Update(update.record(), update.sends() + 1, update.position()));
      }
    }
    requeued.forEach(this::put);
    return taken;
  }

  private void put(Update update) {
    updates.add(update);
    byVm.put(update.record().vm(), update);
  }

  private record Update(MemberRecord record, int sends, long position) {
    MemberStatus status() {
      return record.status();
    }
  }
}

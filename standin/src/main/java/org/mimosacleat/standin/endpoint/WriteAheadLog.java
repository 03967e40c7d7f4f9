package org.mimosacleat.standin.endpoint;

import java.util.ArrayList;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Set;
import org.mimosacleat.core.position.Term;

/**
 * The log of one instance in order of positions. It keeps a bounded number of records; a replica
 * that needs older ones restarts from the oldest kept record, which holds the complete state.
 * Guarded by the lock of {@link InstanceState}.
 */
final class WriteAheadLog {
  private static final int MAX_RECORDS = 1 << 16;

  private final List<LogRecord> records = new ArrayList<>();

  WriteAheadLog(LogRecord first) {
    records.add(first);
  }

  LogRecord last() {
    return records.getLast();
  }

  void append(LogRecord record) {
    if (records.size() >= MAX_RECORDS) {
      records.subList(0, MAX_RECORDS / 2).clear();
    }
    records.add(record);
  }

  /** Returns the records after {@code known}, or all records if this log does not contain it. */
  List<LogRecord> recordsAfter(LogRecord known) {
    int index = indexOf(known);
    return List.copyOf(records.subList(index + 1, records.size()));
  }

  boolean contains(LogRecord record) {
    return indexOf(record) >= 0;
  }

  /**
   * Removes the records at the end that the upstream's log does not contain. If none is left, the
   * log continues from the oldest record of the upstream.
   */
  void rewindTo(List<LogRecord> upstreamRecords) {
    Set<LogRecord> shared = Collections.newSetFromMap(new IdentityHashMap<>());
    shared.addAll(upstreamRecords);
    while (!records.isEmpty() && !shared.contains(last())) {
      records.removeLast();
    }
    if (records.isEmpty()) {
      records.add(upstreamRecords.getFirst());
    }
  }

  List<LogRecord> copy() {
    return List.copyOf(records);
  }

  /** Returns the last record whose term is not later than {@code limit}. */
  LogRecord lastUpToTerm(Term limit) {
    for (int index = records.size() - 1; index > 0; index--) {
      if (!records.get(index).position().term().isAfter(limit)) {
        return records.get(index);
      }
    }
    return records.getFirst();
  }

  private int indexOf(LogRecord record) {
    int low = 0;
    int high = records.size() - 1;
    while (low <= high) {
      int middle = (low + high) >>> 1;
      int order = records.get(middle).position().compareTo(record.position());
      if (order == 0) {
        return records.get(middle) == record ? middle : -1;
      }
      if (order < 0) {
        low = middle + 1;
      } else {
        high = middle - 1;
      }
    }
    return -1;
  }
}

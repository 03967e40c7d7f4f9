package org.mimosacleat.standin.endpoint;

import java.util.ArrayList;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Set;
import org.mimosacleat.core.position.Term;

/**
 * The log of one instance in order of positions. It keeps a bounded number of records; a follower
 * that needs older ones starts again from the oldest kept, which carries the whole state. Guarded
 * by the lock of its instance.
 */
final class WriteAheadLog {
  private static final int MAXIMUM_RECORDS = 1 << 16;

  private final List<LogRecord> records = new ArrayList<>();

  WriteAheadLog(LogRecord first) {
    records.add(first);
  }

  LogRecord last() {
    return records.getLast();
  }

  void append(LogRecord record) {
    if (records.size() >= MAXIMUM_RECORDS) {
      records.subList(0, MAXIMUM_RECORDS / 2).clear();
    }
    records.add(record);
  }

  /** Returns the records after {@code known}, or all if it is not in this log. */
  List<LogRecord> after(LogRecord known) {
    int index = indexOf(known);
    return List.copyOf(records.subList(index + 1, records.size()));
  }

  boolean contains(LogRecord record) {
    return indexOf(record) >= 0;
  }

  /** Drops the records that the other log does not have; the oldest is replaced by its oldest. */
  void rewindTo(List<LogRecord> other) {
    Set<LogRecord> shared = Collections.newSetFromMap(new IdentityHashMap<>());
    shared.addAll(other);
    while (!records.isEmpty() && !shared.contains(last())) {
      records.removeLast();
    }
    if (records.isEmpty()) {
      records.add(other.getFirst());
    }
  }

  List<LogRecord> copy() {
    return List.copyOf(records);
  }

  /** Returns the last record that is not of a later term than {@code limit}. */
  LogRecord lastWithin(Term limit) {
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

package org.mimosacleat.standin.endpoint;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;

/** One lock a table, which a writer holds until its transaction ends. */
final class TableLocks {
  private static final Duration LONGEST_WAIT = Duration.ofSeconds(10);

  private final Map<String, ReentrantLock> locks = new ConcurrentHashMap<>();

  /** Takes the lock; the calling thread must not hold it. */
  void acquire(String table) throws SqlError, InterruptedException {
    ReentrantLock lock = locks.computeIfAbsent(table, name -> new ReentrantLock(true));
    if (!lock.tryLock(LONGEST_WAIT.toNanos(), TimeUnit.NANOSECONDS)) {
      throw new SqlError(
          SqlError.DEADLOCK, "deadlock: lock of table \"" + table + "\" not granted in time");
    }
  }

  void release(String table) {
    locks.get(table).unlock();
  }
}

package org.mimosacleat.standin.endpoint;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;

/** One exclusive lock per table, which a writer holds until its transaction ends. */
final class TableLocks {
  private static final Duration MAX_WAIT = Duration.ofSeconds(10);

  private final Map<String, ReentrantLock> locks = new ConcurrentHashMap<>();

  /** Acquires the lock, which the calling thread must not hold already. */
  void acquire(String table) throws SqlStateException, InterruptedException {
    ReentrantLock lock = locks.computeIfAbsent(table, name -> new ReentrantLock(true));
    if (!lock.tryLock(MAX_WAIT.toNanos(), TimeUnit.NANOSECONDS)) {
      throw new SqlStateException(
          SqlStateException.DEADLOCK_DETECTED,
          "deadlock: lock of table \"" + table + "\" not granted within the wait limit");
    }
  }

  void release(String table) {
    locks.get(table).unlock();
  }
}

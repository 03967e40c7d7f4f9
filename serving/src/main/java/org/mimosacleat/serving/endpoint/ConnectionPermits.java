package org.mimosacleat.serving.endpoint;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * The permits to use a connection of one pool. Their number can change while they are in use;
 * waiters get a permit in order of urgency.
 */
final class ConnectionPermits {
  private final InstantSource clock;
  private final ReentrantLock lock = new ReentrantLock();
  private final List<Waiter> waiters = new ArrayList<>();
  private int size;
  private int inUse;

  ConnectionPermits(InstantSource clock, int size) {
    this.clock = clock;
    this.size = size;
  }

  /** Acquires a permit; returns false if none became free in time. */
  boolean tryAcquire(Urgency urgency, Duration maxWait) throws InterruptedException {
    lock.lock();
    try {
      if (inUse < size && waiters.isEmpty()) {
        inUse++;
        return true;
      }
      return await(new Waiter(urgency, lock.newCondition()), maxWait);
    } finally {
      lock.unlock();
    }
  }

  void release() {
    lock.lock();
    try {
      inUse--;
      grant();
    } finally {
      lock.unlock();
    }
  }

  void resize(int newSize) {
    lock.lock();
    try {
      size = newSize;
      grant();
    } finally {
      lock.unlock();
    }
  }

  /** Returns whether more permits are in use than the present size allows. */
  boolean isShrinking() {
    lock.lock();
    try {
      return inUse > size;
    } finally {
      lock.unlock();
    }
  }

  int waitingCount() {
    lock.lock();
    try {
      return waiters.size();
    } finally {
      lock.unlock();
    }
  }

  private boolean await(Waiter waiter, Duration maxWait) throws InterruptedException {
    waiters.add(waiter);
    grant();
    long left = maxWait.toNanos();
    try {
      while (!waiter.granted && left > 0) {
        left = waiter.changed.awaitNanos(left);
      }
    } catch (InterruptedException interrupted) {
      cancel(waiter);
      throw interrupted;
    }
    waiters.remove(waiter);
    return waiter.granted;
  }

  private void cancel(Waiter waiter) {
    waiters.remove(waiter);
    if (waiter.granted) {
      inUse--;
      grant();
    }
  }

  private void grant() {
    while (inUse < size) {
      Waiter next = mostUrgent();
      if (next == null) {
        return;
      }
      waiters.remove(next);
      next.granted = true;
      inUse++;
      next.changed.signal();
    }
  }

  private Waiter mostUrgent() {
    Instant now = clock.instant();
    Waiter best = null;
    for (Waiter waiter : waiters) {
      if (best == null || waiter.urgency.isBefore(best.urgency, now)) {
        best = waiter;
      }
    }
    return best;
  }

  /** A request that waits for a permit; guarded by the lock. */
  private static final class Waiter {
    private final Urgency urgency;
    private final Condition changed;
    private boolean granted;

    Waiter(Urgency urgency, Condition changed) {
      this.urgency = urgency;
      this.changed = changed;
    }
  }
}

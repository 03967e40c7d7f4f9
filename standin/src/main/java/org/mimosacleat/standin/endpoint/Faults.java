package org.mimosacleat.standin.endpoint;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/** The failures that are switched on for one instance. */
final class Faults {
  private final ReentrantLock lock = new ReentrantLock();
  private final Condition changed = lock.newCondition();
  private final AtomicBoolean dropsNextAnswer = new AtomicBoolean();
  private final AtomicReference<Duration> slowness = new AtomicReference<>(Duration.ZERO);
  private volatile boolean frozen;
  private volatile boolean cutFromClients;
  private volatile boolean cutFromGroup;

  void setFrozen(boolean on) {
    frozen = on;
    signal();
  }

  void setCutFromClients(boolean on) {
    cutFromClients = on;
    signal();
  }

  void setCutFromGroup(boolean on) {
    cutFromGroup = on;
  }

  void setSlowness(Duration delay) {
    slowness.set(delay);
  }

  void dropNextAnswer() {
    dropsNextAnswer.set(true);
  }

  /** Tells whether to drop this answer; asking switches it off again. */
  boolean takeDroppedAnswer() {
    return dropsNextAnswer.compareAndSet(true, false);
  }

  Duration slowness() {
    return slowness.get();
  }

  boolean replicates() {
    return !frozen && !cutFromGroup;
  }

  /** Waits until the instance runs and its clients can reach it. */
  void awaitServing() throws InterruptedException {
    if (!frozen && !cutFromClients) {
      return;
    }
    lock.lock();
    try {
      while (frozen || cutFromClients) {
        changed.await();
      }
    } finally {
      lock.unlock();
    }
  }

  private void signal() {
    lock.lock();
    try {
      changed.signalAll();
    } finally {
      lock.unlock();
    }
  }
}

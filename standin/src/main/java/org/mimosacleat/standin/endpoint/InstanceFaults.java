package org.mimosacleat.standin.endpoint;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/** The faults that are currently injected into one instance. */
final class InstanceFaults {
  private final ReentrantLock lock = new ReentrantLock();
  private final Condition changed = lock.newCondition();
  private final AtomicBoolean dropNextResponse = new AtomicBoolean();
  private final AtomicReference<Duration> statementDelay = new AtomicReference<>(Duration.ZERO);
  private volatile boolean frozen;
  private volatile boolean partitionedFromClients;
  private volatile boolean partitionedFromGroup;

  void setFrozen(boolean on) {
    frozen = on;
    signal();
  }

  void setPartitionedFromClients(boolean on) {
    partitionedFromClients = on;
    signal();
  }

  void setPartitionedFromGroup(boolean on) {
    partitionedFromGroup = on;
  }

  void setStatementDelay(Duration delay) {
    statementDelay.set(delay);
  }

  void dropNextResponse() {
    dropNextResponse.set(true);
  }

  /** Returns whether to drop the current response, and clears the request to drop one. */
  boolean consumeDropNextResponse() {
    return dropNextResponse.compareAndSet(true, false);
  }

  Duration statementDelay() {
    return statementDelay.get();
  }

  boolean canReplicate() {
    return !frozen && !partitionedFromGroup;
  }

  /** Waits until the instance is neither frozen nor partitioned from its clients. */
  void awaitServing() throws InterruptedException {
    if (!frozen && !partitionedFromClients) {
      return;
    }
    lock.lock();
    try {
      while (frozen || partitionedFromClients) {
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

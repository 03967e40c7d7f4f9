package org.mimosacleat.standin.endpoint;

import java.util.concurrent.locks.ReentrantLock;

/** Interrupts the thread of a session from another thread, but only while a statement runs. */
final class CancelTarget {
  private final ReentrantLock lock = new ReentrantLock();
  private Thread runningThread;

  void beginStatement() {
    setRunning(Thread.currentThread());
  }

  /** Marks the statement as finished and clears an interrupt that arrived too late for it. */
  void endStatement() {
    setRunning(null);
    Thread.interrupted();
  }

  void cancel() {
    lock.lock();
    try {
      if (runningThread != null) {
        runningThread.interrupt();
      }
    } finally {
      lock.unlock();
    }
  }

  private void setRunning(Thread statementThread) {
    lock.lock();
    try {
      runningThread = statementThread;
    } finally {
      lock.unlock();
    }
  }
}

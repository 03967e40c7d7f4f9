package org.mimosacleat.standin.endpoint;

import java.util.concurrent.locks.ReentrantLock;

/** Lets another thread interrupt a session, but only while a statement runs. */
final class CancelTarget {
  private final ReentrantLock lock = new ReentrantLock();
  private Thread running;

  void begin() {
    setRunning(Thread.currentThread());
  }

  /** Ends the statement; an interrupt that came too late is forgotten. */
  void end() {
    setRunning(null);
    Thread.interrupted();
  }

  void cancel() {
    lock.lock();
    try {
      if (running != null) {
        running.interrupt();
      }
    } finally {
      lock.unlock();
    }
  }

  private void setRunning(Thread thread) {
    lock.lock();
    try {
      running = thread;
    } finally {
      lock.unlock();
    }
  }
}

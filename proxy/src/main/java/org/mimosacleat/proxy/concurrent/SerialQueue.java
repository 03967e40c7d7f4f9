package org.mimosacleat.proxy.concurrent;

import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.tinylog.Logger;

/**
 * Runs tasks one after the other on the threads that bring them, without locks: a thread that finds
 * no other at work runs its own task and those that arrive meanwhile. Tasks must be short.
 */
public final class SerialQueue {
  private final ConcurrentLinkedQueue<Runnable> tasks = new ConcurrentLinkedQueue<>();
  private final AtomicInteger pending = new AtomicInteger();

  /** Runs a task now, or has the thread at work run it. */
  public void run(Runnable task) {
    tasks.add(task);
    if (pending.getAndIncrement() != 0) {
      return;
    }
    do {
      runGuarded(tasks.remove());
    } while (pending.decrementAndGet() != 0);
  }

  private static void runGuarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException defect) {
      // The next task must still run, and the thread may have come for another one.
      Logger.error(defect, "a task failed");
    }
  }
}

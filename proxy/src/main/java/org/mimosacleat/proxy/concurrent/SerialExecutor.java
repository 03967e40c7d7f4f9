package org.mimosacleat.proxy.concurrent;

import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.tinylog.Logger;

/**
 * Runs tasks one at a time on the threads that submit them, without locks. A thread that finds the
 * queue idle runs its own task and all tasks that other threads submit in the meantime. Tasks must
 * be short.
 */
public final class SerialExecutor {
  private final ConcurrentLinkedQueue<Runnable> tasks = new ConcurrentLinkedQueue<>();
  private final AtomicInteger pending = new AtomicInteger();

  /** Runs a task immediately, or leaves it to the thread that currently runs tasks. */
  public void execute(Runnable task) {
    tasks.add(task);
    if (pending.getAndIncrement() != 0) {
      return;
    }
    do {
      runCatchingExceptions(tasks.remove());
    } while (pending.decrementAndGet() != 0);
  }

  private static void runCatchingExceptions(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException exception) {
      // The remaining tasks must still run, and the failed task may be another thread's.
      Logger.error(exception, "task failed; continuing with the next one");
    }
  }
}

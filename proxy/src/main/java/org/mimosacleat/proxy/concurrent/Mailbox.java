package org.mimosacleat.proxy.concurrent;

import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.tinylog.Logger;

/**
 * Runs posted tasks one at a time on a single thread, and a periodic tick between them. State
 * machines that are not thread-safe are called only from its tasks and its tick.
 */
public final class Mailbox implements AutoCloseable {
  private final LinkedBlockingQueue<Runnable> tasks = new LinkedBlockingQueue<>();
  private final AtomicBoolean closed = new AtomicBoolean();
  private final Duration tickInterval;
  private final Runnable tick;

  /** Creates a mailbox that runs {@code tick} every {@code tickInterval}. */
  public Mailbox(Duration tickInterval, Runnable tick) {
    this.tickInterval = tickInterval;
    this.tick = tick;
  }

  /** Starts to run tasks on a thread of {@code executor}. */
  public void start(ExecutorService executor) {
    executor.submit(this::run);
  }

  /** Queues a task; the task must not block. */
  public void post(Runnable task) {
    tasks.add(task);
  }

  @Override
  public void close() {
    closed.set(true);
    post(() -> {});
  }

  private void run() {
    long nextTick = System.nanoTime();
    while (!closed.get()) {
      try {
        Runnable task = tasks.poll(nextTick - System.nanoTime(), TimeUnit.NANOSECONDS);
        if (task != null) {
          task.run();
        }
        if (nextTick - System.nanoTime() <= 0) {
          nextTick = System.nanoTime() + tickInterval.toNanos();
          tick.run();
        }
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
        return;
      } catch (RuntimeException exception) {
        Logger.error(exception, "task failed; continuing with the next one");
      }
    }
  }
}

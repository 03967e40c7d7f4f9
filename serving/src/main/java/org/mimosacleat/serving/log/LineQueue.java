package org.mimosacleat.serving.log;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Lines on their way to an output that may be slow. Whoever adds a line never waits: lines that
 * find the queue full are dropped and counted, and the count is printed as a line of its own.
 */
final class LineQueue {
  /** The most lines that wait. */
  static final int CAPACITY = 2_000;

  private final ArrayBlockingQueue<String> lines = new ArrayBlockingQueue<>(CAPACITY);
  private final AtomicLong dropped = new AtomicLong();
  private final ReentrantLock printing = new ReentrantLock();
  private final PrintStream output;

  /** Makes a queue that prints only when it is drained. */
  LineQueue(PrintStream output) {
    this.output = output;
  }

  /** Makes a queue that a thread of its own prints. */
  static LineQueue start(PrintStream output) {
    LineQueue queue = new LineQueue(output);
    Thread.ofPlatform().daemon().name("log").start(queue::print);
    return queue;
  }

  void offer(String line) {
    if (!lines.offer(line)) {
      dropped.incrementAndGet();
    }
  }

  /** Prints all lines that wait. */
  void drain() {
    printing.lock();
    try {
      String line = lines.poll();
      while (line != null) {
        output.println(line);
        line = lines.poll();
      }
      reportDropped();
      output.flush();
    } finally {
      printing.unlock();
    }
  }

  private void print() {
    try {
      while (true) {
        String line = lines.take();
        printing.lock();
        try {
          output.println(line);
        } finally {
          printing.unlock();
        }
        drain();
      }
    } catch (InterruptedException stopped) {
      Thread.currentThread().interrupt();
    }
  }

  private void reportDropped() {
    long count = dropped.getAndSet(0);
    if (count > 0) {
      output.println("{\"level\":\"WARN\",\"message\":\"log lines dropped: " + count + "\"}");
    }
  }
}

package org.mimosacleat.serving.log;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Queues lines for an output that may be slow. Adding a line never blocks: if the queue is full,
 * the line is dropped and counted, and the count is printed as a separate line.
 */
final class LineQueue {
  /** The maximum number of queued lines. */
  static final int CAPACITY = 2_000;

  private final ArrayBlockingQueue<String> lines = new ArrayBlockingQueue<>(CAPACITY);
  private final AtomicLong dropped = new AtomicLong();
  private final ReentrantLock printLock = new ReentrantLock();
  private final PrintStream output;

  /** Creates a queue that prints only when {@link #drain} is called. */
  LineQueue(PrintStream output) {
    this.output = output;
  }

  /** Creates a queue that a dedicated daemon thread prints. */
  static LineQueue start(PrintStream output) {
    LineQueue queue = new LineQueue(output);
    Thread.ofPlatform().daemon().name("log").start(queue::printContinuously);
    return queue;
  }

  void offer(String line) {
    if (!lines.offer(line)) {
      dropped.incrementAndGet();
    }
  }

  /** Prints all queued lines. */
  void drain() {
    printLock.lock();
    try {
      String line = lines.poll();
      while (line != null) {
        output.println(line);
        line = lines.poll();
      }
      reportDropped();
      output.flush();
    } finally {
      printLock.unlock();
    }
  }

  private void printContinuously() {
    try {
      while (true) {
        String line = lines.take();
        printLock.lock();
        try {
          output.println(line);
        } finally {
          printLock.unlock();
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

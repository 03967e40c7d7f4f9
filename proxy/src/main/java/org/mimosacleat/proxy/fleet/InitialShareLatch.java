package org.mimosacleat.proxy.fleet;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Delays the first statements of a customer until this proxy has shares to admit them. */
final class InitialShareLatch {
  private final CountDownLatch closed = new CountDownLatch(1);

  /** Lets the statements that wait, and all later ones, go on. */
  void open() {
    closed.countDown();
  }

  /**
   * Waits until the latch is open, but no longer than {@code timeout}. If shares are still missing
   * then, the admission controller refuses the statement.
   */
  void await(Duration timeout) {
    if (closed.getCount() == 0) {
      return;
    }
    try {
      if (!closed.await(timeout.toNanos(), TimeUnit.NANOSECONDS)) {
        // Later statements must not wait again for shares that may never arrive.
        open();
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}

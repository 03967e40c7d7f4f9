package org.mimosacleat.proxy.fleet;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.mimosacleat.core.admission.Resource;

/** Delays the first statements of a customer until this proxy has a share of each resource. */
final class InitialShareLatch {
  private final CountDownLatch remaining = new CountDownLatch(Resource.values().length);
  private final Set<Resource> received = ConcurrentHashMap.newKeySet();

  /** Records that this proxy has a share of a resource. */
  void markReceived(Resource resource) {
    if (received.add(resource)) {
      remaining.countDown();
    }
  }

  /**
   * Waits until this proxy has a share of each resource, but no longer than {@code timeout}. If a
   * share is still missing then, the admission controller refuses the statement.
   */
  void await(Duration timeout) {
    if (remaining.getCount() == 0) {
      return;
    }
    try {
      if (!remaining.await(timeout.toNanos(), TimeUnit.NANOSECONDS)) {
        // Opens the latch: later statements must not wait again for a share that may never arrive.
        Set.of(Resource.values()).forEach(this::markReceived);
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}

package org.mimosacleat.proxy.fleet;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.mimosacleat.core.admission.Resource;

/** Lets the first statements of a customer wait until this proxy has a share of each resource. */
final class FirstShare {
  private final CountDownLatch missing = new CountDownLatch(Resource.values().length);
  private final Set<Resource> arrived = ConcurrentHashMap.newKeySet();

  /** Notes that there is a share of a resource. */
  void arrived(Resource resource) {
    if (arrived.add(resource)) {
      missing.countDown();
    }
  }

  /** Waits, at most for {@code timeout}; the gate refuses by itself if there is no share then. */
  void await(Duration timeout) {
    if (missing.getCount() == 0) {
      return;
    }
    try {
      if (!missing.await(timeout.toNanos(), TimeUnit.NANOSECONDS)) {
        // Later statements must not wait again for what may never come.
        Set.of(Resource.values()).forEach(this::arrived);
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}

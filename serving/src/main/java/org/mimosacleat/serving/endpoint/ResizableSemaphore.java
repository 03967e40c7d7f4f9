package org.mimosacleat.serving.endpoint;

import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** A fair semaphore whose number of permits can change while it is in use. */
final class ResizableSemaphore extends Semaphore {
  private static final long serialVersionUID = 1L;

  private final AtomicInteger size;

  ResizableSemaphore(int size) {
    super(size, true);
    this.size = new AtomicInteger(size);
  }

  void resize(int newSize) {
    int change = newSize - size.getAndSet(newSize);
    if (change > 0) {
      release(change);
    } else {
      reducePermits(-change);
    }
  }

  /** Tells whether more permits are out than there should be. */
  boolean isShrinking() {
    return availablePermits() < 0;
  }

  int waiting() {
    return getQueueLength();
  }
}

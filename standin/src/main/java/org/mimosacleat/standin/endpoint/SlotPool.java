package org.mimosacleat.standin.endpoint;

import java.time.Duration;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.LongAdder;
import java.util.random.RandomGenerator;

/** Lets a bounded number of statements run at once; the others wait in order. */
final class SlotPool {
  private final Semaphore slots;
  private final DelayModel serviceTime;
  private final Faults faults;
  private final LongAdder statements = new LongAdder();

  SlotPool(int slots, DelayModel serviceTime, Faults faults) {
    this.slots = new Semaphore(slots, true);
    this.serviceTime = serviceTime;
    this.faults = faults;
  }

  /** Waits for a slot and for the service time; {@link #release} must follow. */
  void acquire(RandomGenerator random) throws InterruptedException {
    slots.acquire();
    try {
      statements.increment();
      Duration time = serviceTime.draw(random).plus(faults.slowness());
      if (!time.isZero()) {
        Thread.sleep(time);
      }
    } catch (InterruptedException cancelled) {
      slots.release();
      throw cancelled;
    }
  }

  void release() {
    slots.release();
  }

  long statements() {
    return statements.sum();
  }
}

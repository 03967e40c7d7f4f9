package org.mimosacleat.standin.endpoint;

import java.time.Duration;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.LongAdder;
import java.util.random.RandomGenerator;

/** Limits the number of concurrent statements; further ones wait in order of arrival. */
final class SlotPool {
  private final Semaphore slots;
  private final DelayModel serviceTime;
  private final InstanceFaults faults;
  private final LongAdder statements = new LongAdder();

  SlotPool(int slots, DelayModel serviceTime, InstanceFaults faults) {
    this.slots = new Semaphore(slots, true);
    this.serviceTime = serviceTime;
    this.faults = faults;
  }

  /**
   * Acquires a slot and waits for the service time. The caller must call {@link #release} unless
   * this method throws.
   */
  void acquire(RandomGenerator random) throws InterruptedException {
    slots.acquire();
    try {
      statements.increment();
      Duration time = serviceTime.sample(random).plus(faults.statementDelay());
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

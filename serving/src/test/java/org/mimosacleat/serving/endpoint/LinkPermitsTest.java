package org.mimosacleat.serving.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.time.PausedClock;

class LinkPermitsTest {
  private static final Urgency ANY = new Urgency(0, Instant.EPOCH);
  private static final Duration AT_ONCE = Duration.ZERO;
  private static final Duration LONG = Duration.ofMinutes(5);
  private static final int SIZE = 3;

  private final LinkPermits permits = new LinkPermits(new PausedClock(), SIZE);

  @Test
  void refusesAtOnceWhatNobodyWaitsFor() throws InterruptedException {
    take(SIZE);

    assertFalse(permits.tryAcquire(ANY, AT_ONCE));
    assertEquals(0, permits.waiting());
  }

  @Test
  void grantsNothingUntilEnoughCameBackAfterShrinking() throws InterruptedException {
    take(SIZE);
    permits.resize(1);
    permits.release();

    assertTrue(permits.isShrinking());
    assertFalse(permits.tryAcquire(ANY, AT_ONCE));

    permits.release();
    permits.release();
    assertTrue(permits.tryAcquire(ANY, AT_ONCE));
  }

  @Test
  void neverGrantsMoreThanThereAreAndLosesNone() throws InterruptedException {
    AtomicInteger held = new AtomicInteger();
    AtomicInteger most = new AtomicInteger();
    List<Thread> users = new ArrayList<>();
    for (int user = 0; user < 60; user++) {
      Urgency urgency = new Urgency(user % SIZE, Instant.EPOCH);
      users.add(Thread.ofVirtual().start(() -> useOften(urgency, held, most)));
    }
    for (Thread user : users) {
      user.join();
    }

    assertTrue(most.get() <= SIZE);
    take(SIZE);
    assertFalse(permits.tryAcquire(ANY, AT_ONCE));
  }

  private void useOften(Urgency urgency, AtomicInteger held, AtomicInteger most) {
    try {
      for (int use = 0; use < 200; use++) {
        assertTrue(permits.tryAcquire(urgency, LONG));
        most.accumulateAndGet(held.incrementAndGet(), Math::max);
        Thread.yield();
        held.decrementAndGet();
        permits.release();
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private void take(int count) throws InterruptedException {
    for (int number = 0; number < count; number++) {
      assertTrue(permits.tryAcquire(ANY, AT_ONCE));
    }
  }
}

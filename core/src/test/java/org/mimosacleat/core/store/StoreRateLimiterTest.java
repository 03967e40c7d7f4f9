package org.mimosacleat.core.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.time.PausedClock;

class StoreRateLimiterTest {
  private static final long SEED = 41;
  private static final StoreLimits LIMITS =
      new StoreLimits(10, 5, Duration.ofMillis(100), Duration.ofSeconds(8), Duration.ofSeconds(8));

  private final PausedClock clock = new PausedClock();
  private final StoreRateLimiter limiter = new StoreRateLimiter(LIMITS, clock, new Random(SEED));

  @Test
  void steadyDemandIsLimitedToTheRate() {
    int admitted = 0;
    for (int step = 0; step < 10_000; step++) {
      admitted += admittedNow();
      clock.advance(Duration.ofMillis(1));
    }

    assertTrue(admitted > 90 && admitted <= 105, "admitted " + admitted + ", seed " + SEED);
  }

  @Test
  void whileDownRequestsAreAdmittedOneByOne() {
    limiter.tryAcquire();
    limiter.recordFailure();
    StorePermit.Deferred deferred =
        assertInstanceOf(StorePermit.Deferred.class, limiter.tryAcquire());
    clock.advance(Duration.between(clock.instant(), deferred.retryAt()));

    assertEquals(1, admittedNow());
    assertEquals(0, admittedNow());
    assertTrue(limiter.isDown());
  }

  @Test
  void waitsCoverTheFullRangeUpToTheMaximumBackoff() {
    Instant earliest = Instant.MAX;
    Instant latest = Instant.MIN;
    for (int seed = 0; seed < 200; seed++) {
      StoreRateLimiter other = new StoreRateLimiter(LIMITS, clock, new Random(seed));
      for (int failure = 0; failure < 40; failure++) {
        other.recordFailure();
      }
      Instant retryAt = ((StorePermit.Deferred) other.tryAcquire()).retryAt();
      earliest = retryAt.isBefore(earliest) ? retryAt : earliest;
      latest = retryAt.isAfter(latest) ? retryAt : latest;
    }

    Instant bound = clock.instant().plus(LIMITS.maxBackoff());
    assertFalse(latest.isAfter(bound));
    assertTrue(latest.isAfter(bound.minusSeconds(1)));
    assertTrue(earliest.isBefore(clock.instant().plusSeconds(1)));
  }

  @Test
  void rateRisesGraduallyAfterAnOutage() {
    limiter.recordFailure();
    limiter.recordSuccess();
    int firstSecond = admittedDuring(Duration.ofSeconds(1));
    clock.advance(LIMITS.rampUp());
    admittedNow();
    int laterSecond = admittedDuring(Duration.ofSeconds(1));

    assertTrue(firstSecond <= 2, "first second admitted " + firstSecond);
    assertTrue(laterSecond >= 9, "later second admitted " + laterSecond);
  }

  private int admittedDuring(Duration duration) {
    int admitted = 0;
    for (long step = 0; step < duration.toMillis(); step++) {
      admitted += admittedNow();
      clock.advance(Duration.ofMillis(1));
    }
    return admitted;
  }

  private int admittedNow() {
    return limiter.tryAcquire() instanceof StorePermit.Granted ? 1 : 0;
  }
}

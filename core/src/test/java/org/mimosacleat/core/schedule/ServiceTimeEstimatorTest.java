package org.mimosacleat.core.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class ServiceTimeEstimatorTest {
  private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;
  private static final Fingerprint SHORT = new Fingerprint(1);
  private static final Fingerprint LONG = new Fingerprint(2);

  private final ServiceTimeEstimator estimator =
      new ServiceTimeEstimator(new EstimatorSettings(8, Duration.ofMillis(5), 10, 0.9));

  private void recordShort(int times) {
    for (int run = 0; run < times; run++) {
      estimator.record(SHORT, 5 * NANOSECONDS_PER_MILLISECOND);
    }
  }

  @Test
  void statementFarAboveTheMedianIsLongAfterItsFirstRun() {
    recordShort(30);
    estimator.record(LONG, 500 * NANOSECONDS_PER_MILLISECOND);

    assertTrue(estimator.estimate(LONG).longRunning());
    assertFalse(estimator.estimate(SHORT).longRunning());
  }

  @Test
  void firstRunStillInProgressAlreadyMarksTheStatementAsLong() {
    recordShort(30);
    estimator.recordStillRunning(LONG, 60 * NANOSECONDS_PER_MILLISECOND);

    assertTrue(estimator.estimate(LONG).longRunning());
  }

  @Test
  void statementThatBecomesShortIsNoLongerLong() {
    recordShort(30);
    estimator.record(LONG, 500 * NANOSECONDS_PER_MILLISECOND);
    for (int run = 0; run < 600; run++) {
      estimator.record(LONG, 5 * NANOSECONDS_PER_MILLISECOND);
    }

    assertFalse(estimator.estimate(LONG).longRunning());
  }

  @Test
  void numberOfKnownFingerprintsIsBounded() {
    for (int hash = 0; hash < 100; hash++) {
      estimator.record(new Fingerprint(hash), NANOSECONDS_PER_MILLISECOND);
    }

    assertEquals(8, estimator.size());
  }

  @Test
  void unknownStatementsAreNotProbesOnceFirstRunsWereShort() {
    assertTrue(estimator.estimate(LONG).probe());
    for (int hash = 100; hash < 200; hash++) {
      estimator.record(new Fingerprint(hash), NANOSECONDS_PER_MILLISECOND);
    }

    assertFalse(estimator.estimate(LONG).probe());
  }

  @Test
  void fingerprintIgnoresOnlyLiteralsCaseAndRepeatedSpaces() {
    Fingerprint first = Fingerprint.of("SELECT * FROM meter WHERE id = 17  AND site = 'old mill'");
    Fingerprint second = Fingerprint.of("select * from meter where id = 4 and site = 'x'");
    Fingerprint other = Fingerprint.of("select * from meter2 where id = 4 and site = 'x'");

    assertEquals(first, second);
    assertNotEquals(second, other);
  }
}

package org.mimosacleat.core.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class ServiceTimeEstimatorTest {
  private static final long MILLISECOND = 1_000_000;
  private static final Fingerprint BRIEF = new Fingerprint(1);
  private static final Fingerprint REPORT = new Fingerprint(2);

  private final ServiceTimeEstimator estimator =
      new ServiceTimeEstimator(new EstimatorSettings(8, Duration.ofMillis(5), 10, 0.9));

  private void recordBrief(int times) {
    for (int run = 0; run < times; run++) {
      estimator.record(BRIEF, 5 * MILLISECOND);
    }
  }

  @Test
  void statementFarAboveTheMedianIsLongAfterItsFirstRun() {
    recordBrief(30);
    estimator.record(REPORT, 500 * MILLISECOND);

    assertTrue(estimator.estimate(REPORT).longRunning());
    assertFalse(estimator.estimate(BRIEF).longRunning());
  }

  @Test
  void firstRunStillInProgressAlreadyMarksTheStatementAsLong() {
    recordBrief(30);
    estimator.stillRunning(REPORT, 60 * MILLISECOND);

    assertTrue(estimator.estimate(REPORT).longRunning());
  }

  @Test
  void statementThatBecomesBriefIsNoLongerLong() {
    recordBrief(30);
    estimator.record(REPORT, 500 * MILLISECOND);
    for (int run = 0; run < 600; run++) {
      estimator.record(REPORT, 5 * MILLISECOND);
    }

    assertFalse(estimator.estimate(REPORT).longRunning());
  }

  @Test
  void rememberedFingerprintsAreBounded() {
    for (int hash = 0; hash < 100; hash++) {
      estimator.record(new Fingerprint(hash), MILLISECOND);
    }

    assertEquals(8, estimator.size());
  }

  @Test
  void unknownStatementsAreNoProbesOnceFirstRunsHaveBeenBrief() {
    assertTrue(estimator.estimate(REPORT).probe());
    for (int hash = 100; hash < 200; hash++) {
      estimator.record(new Fingerprint(hash), MILLISECOND);
    }

    assertFalse(estimator.estimate(REPORT).probe());
  }

  @Test
  void fingerprintLeavesOutLiteralsOnly() {
    Fingerprint first = Fingerprint.of("SELECT * FROM meter WHERE id = 17  AND site = 'old mill'");
    Fingerprint second = Fingerprint.of("select * from meter where id = 4 and site = 'x'");
    Fingerprint other = Fingerprint.of("select * from meter2 where id = 4 and site = 'x'");

    assertEquals(first, second);
    assertNotEquals(second, other);
  }
}

package org.mimosacleat.serving.drain;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.time.PausedClock;

class DrainProgressTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(1);

  private final PausedClock clock = new PausedClock();
  private final DrainProgress progress = progress(Duration.ofSeconds(6));

  private DrainProgress progress(Duration grace) {
    return new DrainProgress(clock, new DrainTimes(Duration.ofMillis(2_300), grace));
  }

  @Test
  void takesAllWorkBeforeTheDrain() {
    clock.advance(Duration.ofHours(1));

    assertTrue(progress.takesNewWork());
    assertTrue(progress.canFinish(Duration.ofHours(1)));
    assertFalse(progress.hasStarted());
  }

  @Test
  void takesNewWorkInTheFirstHalfOfTheGracePeriod() {
    progress.start();
    clock.advance(Duration.ofMillis(2_999));

    assertTrue(progress.takesNewWork());
    clock.advance(Duration.ofMillis(1));

    assertFalse(progress.takesNewWork());
  }

  /** Guards against statements of open transactions that the exit of the process would cut. */
  @Test
  void takesStatementsOfTransactionsThatCanFinish() {
    progress.start();
    clock.advance(Duration.ofMillis(3_800));

    assertTrue(progress.canFinish(TIMEOUT));
    clock.advance(Duration.ofMillis(100));

    assertFalse(progress.canFinish(TIMEOUT));
  }

  @Test
  void closesSessionsEarlierIfTheGracePeriodIsShort() {
    DrainProgress shortGrace = progress(Duration.ofSeconds(3));
    shortGrace.start();
    clock.advance(Duration.ofMillis(1_500));

    assertFalse(shortGrace.expectsClients());
    assertFalse(shortGrace.takesNewWork());
  }

  @Test
  void secondStartDoesNotProlongTheDrain() {
    progress.start();
    clock.advance(Duration.ofSeconds(2));

    progress.start();

    assertEquals(Duration.ofSeconds(2), progress.elapsed());
  }

  @Test
  void timeUntilExitEndsBeforeTheProcessIsKilled() {
    progress.start();
    clock.advance(Duration.ofSeconds(7));

    assertEquals(Duration.ZERO, progress.timeUntilExit());
  }

  /** Guards against a stop that still exits when the grace period ends: exits took up to 504 ms. */
  @Test
  void exitBeginsEarlyEnoughForTheExitOnBusyMachine() {
    progress.start();
    clock.advance(Duration.ofMillis(5_200));

    assertEquals(Duration.ZERO, progress.timeUntilExit());
  }
}

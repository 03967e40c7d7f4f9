package org.mimosacleat.core.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Outcome;
import org.mimosacleat.core.id.CustomerId;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.time.PausedClock;

class SlotSchedulerTest {
  private static final EndpointId ONE = new EndpointId("one");
  private static final EndpointId TWO = new EndpointId("two");
  private static final Fingerprint BRIEF = new Fingerprint(1);
  private static final Fingerprint REPORT = new Fingerprint(2);
  private static final Duration FAR = Duration.ofMinutes(10);
  private static final long MILLISECOND = 1_000_000;

  private final PausedClock clock = new PausedClock();
  private final ServiceTimeEstimator estimator =
      new ServiceTimeEstimator(EstimatorSettings.STANDARD);
  private SlotScheduler scheduler = scheduler(SlotSettings.STANDARD);

  private SlotScheduler scheduler(SlotSettings settings) {
    SlotScheduler created = new SlotScheduler(settings, estimator, clock);
    created.addEndpoint(ONE, 2);
    return created;
  }

  private void learn() {
    for (int run = 0; run < 30; run++) {
      estimator.record(BRIEF, 5 * MILLISECOND);
    }
    estimator.record(REPORT, 500 * MILLISECOND);
  }

  private Work work(Fingerprint fingerprint, Duration timeLeft, EndpointId... eligible) {
    return new Work(
        new CustomerId("k"),
        1,
        fingerprint,
        Set.of(eligible),
        clock.instant().plus(timeLeft),
        false);
  }

  private Ticket submit(Fingerprint fingerprint) {
    return scheduler.submit(work(fingerprint, FAR, ONE)).get();
  }

  private List<Start> startAll() {
    List<Start> starts = new ArrayList<>();
    for (Optional<Start> start = scheduler.next(); start.isPresent(); start = scheduler.next()) {
      starts.add(start.get());
    }
    return starts;
  }

  @Test
  void longStatementsLeaveTheReservedSlotToShortOnes() {
    learn();
    submit(REPORT);
    submit(REPORT);
    assertEquals(1, startAll().size());
    clock.advance(Duration.ofMillis(600));
    assertTrue(startAll().isEmpty());

    Ticket brief = submit(BRIEF);

    assertEquals(List.of(new Start(brief, ONE)), startAll());
  }

  @Test
  void longStatementIsNotStarvedByEndlessShortOnes() {
    learn();
    assertTrue(longStartsWithin(Duration.ofSeconds(1)));
  }

  @Test
  void theStarvationCheckFailsWithoutAgeing() {
    learn();
    scheduler = scheduler(new SlotSettings(1, Duration.ofDays(1), Duration.ofSeconds(1), FAR));
    assertFalse(longStartsWithin(Duration.ofSeconds(1)));
  }

  private boolean longStartsWithin(Duration limit) {
    Ticket report = null;
    List<Start> running = new ArrayList<>();
    for (int step = 0; step < limit.toMillis() / 5; step++) {
      submit(BRIEF);
      submit(BRIEF);
      report = report == null ? submit(REPORT) : report;
      List<Start> starts = startAll();
      Ticket wanted = report;
      if (starts.stream().anyMatch(start -> start.ticket().equals(wanted))) {
        return true;
      }
      running.addAll(starts);
      clock.advance(Duration.ofMillis(5));
      running.forEach(start -> scheduler.finished(start.ticket()));
      running.clear();
    }
    return false;
  }

  @Test
  void unknownStatementsTakeAtMostOneReservedSlotOfTheGroup() {
    scheduler.addEndpoint(TWO, 2);
    for (int hash = 100; hash < 110; hash++) {
      scheduler.submit(work(new Fingerprint(hash), FAR, ONE, TWO));
    }

    assertEquals(3, startAll().size());
  }

  @Test
  void shortStatementThatTurnsOutLongCountsAgainstTheLongSlots() {
    learn();
    submit(BRIEF);
    final Ticket report = submit(REPORT);
    startAll();
    clock.advance(Duration.ofMillis(600));
    scheduler.tick();
    scheduler.finished(report);
    submit(REPORT);

    assertTrue(startAll().isEmpty());
  }

  @Test
  void statementThatCannotEndInTimeIsRefusedAtOnceAsNotRun() {
    learn();
    ErrorKind kind = scheduler.submit(work(REPORT, Duration.ofMillis(100), ONE)).getLeft().kind();

    assertEquals(ErrorKind.OVERLOADED, kind);
    assertEquals(Outcome.NOT_RUN, kind.outcome());
  }

  @Test
  void waitingStatementIsRefusedWhenItsDeadlineComes() {
    learn();
    submit(BRIEF);
    submit(BRIEF);
    startAll();
    Ticket late = scheduler.submit(work(BRIEF, Duration.ofMillis(50), ONE)).get();
    clock.advance(Duration.ofMillis(50));

    assertEquals(late, scheduler.tick().getFirst().ticket());
    scheduler.finished(new Ticket(1));
    assertTrue(startAll().isEmpty());
  }

  @Test
  void endpointThatLeavesReceivesNothingAndItsPinnedWorkIsRefused() {
    learn();
    submit(BRIEF);

    assertEquals(1, scheduler.removeEndpoint(ONE).size());
    assertTrue(scheduler.submit(work(BRIEF, FAR, ONE)).isLeft());
    assertTrue(startAll().isEmpty());
    scheduler.addEndpoint(ONE, 2);
    submit(BRIEF);
    assertEquals(1, startAll().size());
  }

  @Test
  void customerThatFillsItsQueueIsRefusedAndOthersAreNot() {
    learn();
    int accepted = 0;
    while (scheduler.submit(work(BRIEF, FAR, ONE)).isRight()) {
      accepted++;
      assertTrue(accepted < 1000, "nothing is refused");
    }
    Work other =
        new Work(new CustomerId("other"), 1, BRIEF, Set.of(ONE), clock.instant().plus(FAR), false);

    assertTrue(scheduler.submit(other).isRight());
  }

  @Test
  void longAndShortTakeTurnsOnSingleSlot() {
    learn();
    scheduler = new SlotScheduler(SlotSettings.STANDARD, estimator, clock);
    scheduler.addEndpoint(ONE, 1);
    final Ticket first = submit(REPORT);
    submit(REPORT);
    startAll();
    clock.advance(Duration.ofMillis(600));
    scheduler.finished(first);
    Ticket brief = submit(BRIEF);

    assertEquals(brief, startAll().getFirst().ticket());
  }

  @Test
  void runThatPassesTheThresholdMarksItsFingerprintBeforeItEnds() {
    learn();
    Fingerprint unseen = new Fingerprint(77);
    submit(unseen);
    startAll();
    clock.advance(Duration.ofMillis(60));
    scheduler.tick();

    assertTrue(estimator.estimate(unseen).longRunning());
  }

  @Test
  void continuedTransactionGoesAheadOfOtherShortWork() {
    learn();
    submit(BRIEF);
    Work next =
        new Work(new CustomerId("k"), 1, BRIEF, Set.of(ONE), clock.instant().plus(FAR), true);
    Ticket continuation = scheduler.submit(next).get();

    assertEquals(continuation, startAll().getFirst().ticket());
  }
}

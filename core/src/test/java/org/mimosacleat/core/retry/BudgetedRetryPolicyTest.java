package org.mimosacleat.core.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.NotEmpty;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.error.Outcome;
import org.mimosacleat.core.time.PausedClock;

class BudgetedRetryPolicyTest {
  private final PausedClock clock = new PausedClock();

  @Property(seed = "4005", tries = 500)
  void sendsNonIdempotentWorkOnceAndNeverReportsExecutedWorkAsNotRun(
      @ForAll @NotEmpty List<ErrorKind> failures, @ForAll boolean idempotent) {
    RunResult run = run(policy(), failures, idempotent);

    assertTrue(idempotent || run.timesSent() <= 1, failures.toString());
    assertFalse(run.reportedNotRunAfterExecution(), failures.toString());
  }

  @Test
  void checksDetectPolicyThatAlwaysRetries() {
    RunResult run =
        run(
            new AlwaysRetryPolicy(),
            List.of(
                ErrorKind.CONNECTION_LOST,
                ErrorKind.UNAVAILABLE,
                ErrorKind.UNAVAILABLE,
                ErrorKind.UNAVAILABLE),
            false);

    assertTrue(run.reportedNotRunAfterExecution());
    RunResult repeatedRun =
        run(
            new AlwaysRetryPolicy(),
            List.of(ErrorKind.CONNECTION_LOST, ErrorKind.CONNECTION_LOST),
            false);
    assertTrue(repeatedRun.timesSent() > 1);
  }

  @Test
  void retriesStayWithinBudget() {
    RetryPolicy policy = policy();
    int retries = 0;
    for (int request = 0; request < 2_000; request++) {
      policy.recordRequest();
      Attempts attempts = attempts(true).with(failure(ErrorKind.UNAVAILABLE), false);
      if (policy.decide(attempts, failure(ErrorKind.UNAVAILABLE))
          instanceof RetryDecision.RetryAfter) {
        retries++;
      }
    }

    RetrySettings settings = RetrySettings.DEFAULT;
    assertEquals(settings.budgetBurst() + 2_000 * settings.budgetRatio(), retries, 1);
  }

  @Test
  void doesNotRetryTooCloseToDeadline() {
    Attempts late =
        Attempts.none(true, clock.instant().plus(RetrySettings.DEFAULT.minimumRemainingTime()))
            .with(failure(ErrorKind.UNAVAILABLE), false);

    assertInstanceOf(
        RetryDecision.GiveUp.class, policy().decide(late, failure(ErrorKind.UNAVAILABLE)));
  }

  @Test
  void backoffGrowsUpToMaximum() {
    RetryPolicy policy = policy();
    Attempts attempts = attempts(true);
    Duration longestBackoff = Duration.ZERO;
    for (int attempt = 0; attempt < 12; attempt++) {
      attempts = attempts.with(failure(ErrorKind.UNAVAILABLE), false);
      RetryDecision.RetryAfter retry =
          assertInstanceOf(
              RetryDecision.RetryAfter.class,
              policy.decide(attempts, failure(ErrorKind.UNAVAILABLE)));
      assertTrue(retry.delay().compareTo(RetrySettings.DEFAULT.maximumBackoff()) <= 0);
      longestBackoff = retry.delay().compareTo(longestBackoff) > 0 ? retry.delay() : longestBackoff;
    }
    assertTrue(longestBackoff.compareTo(RetrySettings.DEFAULT.initialBackoff()) > 0);
  }

  /** Passes the failures to the policy in turn. Work with an unknown outcome counts as executed. */
  private RunResult run(RetryPolicy policy, List<ErrorKind> failures, boolean idempotent) {
    Attempts attempts = attempts(idempotent);
    int sent = 0;
    boolean ran = false;
    for (ErrorKind kind : failures) {
      boolean mayHaveRun = kind.outcome() != Outcome.NOT_RUN;
      sent += mayHaveRun ? 1 : 0;
      ran |= mayHaveRun;
      attempts = attempts.with(failure(kind), mayHaveRun);
      if (policy.decide(attempts, failure(kind)) instanceof RetryDecision.GiveUp(Failure last)) {
        return new RunResult(sent, ran && last.kind().outcome() == Outcome.NOT_RUN);
      }
    }
    return new RunResult(sent, false);
  }

  private RetryPolicy policy() {
    return new BudgetedRetryPolicy(clock, new Random(1), RetrySettings.DEFAULT);
  }

  private Attempts attempts(boolean idempotent) {
    return Attempts.none(idempotent, clock.instant().plusSeconds(60));
  }

  private static Failure failure(ErrorKind kind) {
    return new Failure(kind, "test");
  }

  private record RunResult(int timesSent, boolean reportedNotRunAfterExecution) {}
}

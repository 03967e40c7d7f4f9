package org.mimosacleat.core.retry;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.random.RandomGenerator;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.error.Failure;

/**
 * Retries as the {@link org.mimosacleat.core.error.RetryAdvice} of the failure allows, with
 * exponential backoff and full jitter, within the retry budget and the deadline of the request.
 *
 * <p>Work that is not idempotent is never sent twice, not even after a failure that reports that it
 * did not run. If any attempt may have run, its failure is returned to the client: a later attempt
 * that did not run does not change the outcome of the earlier one.
 */
public final class BudgetedRetryPolicy implements RetryPolicy {
  private static final int MAXIMUM_BACKOFF_DOUBLINGS = 20;

  private final InstantSource clock;
  private final RandomGenerator random;
  private final RetrySettings settings;
  private final RetryBudget budget;

  /** Creates a policy with a full budget; one policy is shared by all requests of a proxy. */
  public BudgetedRetryPolicy(InstantSource clock, RandomGenerator random, RetrySettings settings) {
    this.clock = Checks.notNull("clock", clock);
    this.random = Checks.notNull("random generator", random);
    this.settings = Checks.notNull("retry settings", settings);
    this.budget = new RetryBudget(settings.budgetRatio(), settings.budgetBurst());
  }

  @Override
  public void recordRequest() {
    budget.deposit();
  }

  @Override
  public RetryDecision decide(Attempts attempts, Failure failure) {
    Duration wait = backoff(attempts.failed());
    if (!isAllowed(attempts, failure)
        || !endsBeforeDeadline(wait, attempts.deadline())
        || !budget.tryWithdraw()) {
      return new RetryDecision.GiveUp(attempts.indeterminateFailure().orElse(failure));
    }
    return new RetryDecision.RetryAfter(wait);
  }

  private static boolean isAllowed(Attempts attempts, Failure failure) {
    if (!attempts.idempotent() && attempts.sent()) {
      return false;
    }
    return switch (failure.kind().retryAdvice()) {
      case ANY -> true;
      case IDEMPOTENT_ONLY -> attempts.idempotent();
      case NEVER -> false;
    };
  }

  private boolean endsBeforeDeadline(Duration wait, Instant deadline) {
    Instant earliestEnd = clock.instant().plus(wait).plus(settings.minimumRemainingTime());
    return earliestEnd.isBefore(deadline);
  }

  private Duration backoff(int failed) {
    int doublings = Math.min(Math.max(failed - 1, 0), MAXIMUM_BACKOFF_DOUBLINGS);
    long upperBoundNanos =
        Math.min(
            settings.maximumBackoff().toNanos(), settings.initialBackoff().toNanos() << doublings);
    return Duration.ofNanos(random.nextLong(upperBoundNanos + 1));
  }
}

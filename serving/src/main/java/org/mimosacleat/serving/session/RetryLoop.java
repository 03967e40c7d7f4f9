package org.mimosacleat.serving.session;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.mimosacleat.core.connection.TransactionStatus;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.time.Sleeper;
import org.mimosacleat.serving.fleet.FleetState;
import org.mimosacleat.serving.fleet.Route;
import org.mimosacleat.serving.routing.Target;
import org.mimosacleat.serving.statement.Answer;

/**
 * Tries endpoints until one has given a final answer, the wait limit has passed or the maximum
 * number of attempts is reached. An attempt is repeated only if it had no lasting effect.
 */
final class RetryLoop {
  private static final int MAX_ATTEMPTS = 40;

  /**
   * The fraction of the statement timeout after which a statement that has not run is refused. A
   * planned replacement of the primary fits into it, and the client has time left to try another
   * proxy.
   */
  private static final double MAX_WAIT_FRACTION = 0.6;

  private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(4);
  private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(16);

  private final FleetState fleet;
  private final InstantSource clock;
  private final RandomGenerator random;
  private final Sleeper sleeper;

  RetryLoop(FleetState fleet, InstantSource clock, RandomGenerator random, Sleeper sleeper) {
    this.fleet = fleet;
    this.clock = clock;
    this.random = random;
    this.sleeper = sleeper;
  }

  /**
   * Repeats attempts until one is final.
   *
   * @param choose chooses a target, given the endpoints to avoid
   * @param attempt makes one attempt on a target
   */
  Answer run(
      Route route,
      Instant arrivedAt,
      Function<Set<EndpointId>, Target> choose,
      Function<Target, AttemptOutcome> attempt) {
    Instant waitLimit = waitLimit(route, arrivedAt);
    Set<EndpointId> avoided = new HashSet<>();
    Failure latest = noPrimary(route);
    for (int number = 0; number < MAX_ATTEMPTS; number++) {
      CompletableFuture<Void> change = fleet.nextChange();
      Target target = choose.apply(avoided);
      if (target instanceof Target.Unavailable) {
        return refused(latest);
      }
      if (target instanceof Target.None) {
        if (!awaitChange(change, waitLimit)) {
          return refused(latest);
        }
        continue;
      }
      switch (attempt.apply(target)) {
        case AttemptOutcome.Final(Answer answer) -> {
          return answer;
        }
        case AttemptOutcome.Retry(Failure failure, Optional<EndpointId> avoid) -> {
          latest = failure;
          boolean elsewhere = avoid.filter(avoided::add).isPresent();
          if (!elsewhere && !pause(waitLimit)) {
            return refused(latest);
          }
        }
      }
      if (!clock.instant().isBefore(waitLimit)) {
        return refused(latest);
      }
    }
    return refused(latest);
  }

  /** Returns until when a statement that has not run may wait for another attempt. */
  static Instant waitLimit(Route route, Instant arrivedAt) {
    return arrivedAt.plus(scaled(route.statementTimeout(), MAX_WAIT_FRACTION));
  }

  private static Answer refused(Failure failure) {
    return Answer.failed(failure, TransactionStatus.IDLE);
  }

  private static Failure noPrimary(Route route) {
    return new Failure(
        ErrorKind.UNAVAILABLE, "group " + route.group() + " has no usable primary at present");
  }

  private boolean awaitChange(CompletableFuture<Void> change, Instant until) {
    long left = Duration.between(clock.instant(), until).toNanos();
    if (left <= 0) {
      return false;
    }
    try {
      change.get(left, TimeUnit.NANOSECONDS);
      return true;
    } catch (TimeoutException | ExecutionException unchanged) {
      return false;
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /** Pauses for a random delay; returns false if that would end after a given time. */
  boolean pause(Instant until) {
    long nanoseconds = random.nextLong(MIN_RETRY_DELAY.toNanos(), MAX_RETRY_DELAY.toNanos());
    if (!clock.instant().plusNanos(nanoseconds).isBefore(until)) {
      return false;
    }
    sleeper.sleep(Duration.ofNanos(nanoseconds));
    return !Thread.currentThread().isInterrupted();
  }

  private static Duration scaled(Duration duration, double fraction) {
    return Duration.ofNanos((long) (duration.toNanos() * fraction));
  }
}

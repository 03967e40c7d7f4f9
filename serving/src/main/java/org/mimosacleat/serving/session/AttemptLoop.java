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
final class AttemptLoop {
  private static final int MOST_ATTEMPTS = 40;

  /**
   * The fraction of the statement timeout after which a statement that has not run is refused. A
   * planned replacement of the primary fits into it, and the client has time left to try another
   * proxy.
   */
  private static final double PATIENCE = 0.6;

  private static final Duration SHORTEST_PAUSE = Duration.ofMillis(4);
  private static final Duration LONGEST_PAUSE = Duration.ofMillis(16);

  private final FleetState fleet;
  private final InstantSource clock;
  private final RandomGenerator random;
  private final Sleeper sleeper;

  AttemptLoop(FleetState fleet, InstantSource clock, RandomGenerator random, Sleeper sleeper) {
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
      Function<Target, Step> attempt) {
    Instant patience = arrivedAt.plus(scaled(route.statementTimeout(), PATIENCE));
    Set<EndpointId> avoided = new HashSet<>();
    Failure latest = noPrimary(route);
    for (int number = 0; number < MOST_ATTEMPTS; number++) {
      CompletableFuture<Void> change = fleet.nextChange();
      Target target = choose.apply(avoided);
      if (target instanceof Target.None) {
        if (!await(change, patience)) {
          return refused(latest);
        }
        continue;
      }
      switch (attempt.apply(target)) {
        case Step.Final(Answer answer) -> {
          return answer;
        }
        case Step.Again(Failure failure, Optional<EndpointId> avoid) -> {
          latest = failure;
          boolean elsewhere = avoid.filter(avoided::add).isPresent();
          if (!elsewhere && !pause(patience)) {
            return refused(latest);
          }
        }
      }
      if (!clock.instant().isBefore(patience)) {
        return refused(latest);
      }
    }
    return refused(latest);
  }

  private static Answer refused(Failure failure) {
    return Answer.failed(failure, TransactionStatus.IDLE);
  }

  private static Failure noPrimary(Route route) {
    return new Failure(
        ErrorKind.UNAVAILABLE, "group " + route.group() + " has no usable primary at present");
  }

  private boolean await(CompletableFuture<Void> change, Instant until) {
    long left = Duration.between(clock.instant(), until).toNanos();
    if (left <= 0) {
      return false;
    }
    try {
      change.get(left, TimeUnit.NANOSECONDS);
      return true;
    } catch (TimeoutException | ExecutionException nothing) {
      return false;
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /** Pauses for a random delay; returns false if that would end after a given time. */
  boolean pause(Instant until) {
    long nanoseconds = random.nextLong(SHORTEST_PAUSE.toNanos(), LONGEST_PAUSE.toNanos());
    if (!clock.instant().plusNanos(nanoseconds).isBefore(until)) {
      return false;
    }
    sleeper.sleep(Duration.ofNanos(nanoseconds));
    return !Thread.currentThread().isInterrupted();
  }

  private static Duration scaled(Duration whole, double part) {
    return Duration.ofNanos((long) (whole.toNanos() * part));
  }
}

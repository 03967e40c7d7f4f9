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
 * Tries endpoints until one has answered or nothing more is to be gained. Only attempts of which
 * nothing is kept are followed by another.
 */
final class AttemptLoop {
  private static final int MOST_ATTEMPTS = 40;

  /**
   * The part of a statement's time that may pass before it is refused as not run: a planned
   * replacement fits in, and the client has time left to try another proxy.
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
   * Runs attempts.
   *
   * @param choose chooses a target, given the endpoints to avoid
   * @param attempt makes one attempt
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
    return new Failure(ErrorKind.UNAVAILABLE, "group " + route.group() + " has no primary now");
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

  /** Pauses for a moment; false if that would last beyond a time. */
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

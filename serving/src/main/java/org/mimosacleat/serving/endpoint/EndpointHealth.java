package org.mimosacleat.serving.endpoint;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicReference;
import org.mimosacleat.core.position.Position;

/** The health of an endpoint as seen in its answers and time-outs, not in its own reports. */
public final class EndpointHealth {
  private static final Duration INITIAL_ANSWER_TIME = Duration.ofMillis(20);
  private static final double LATEST_WEIGHT = 0.1;
  private static final Duration MIN_SUSPECT_TIME = Duration.ofMillis(200);
  private static final int MAX_DOUBLINGS = 4;
  private static final Duration MIN_LAG_AVOIDANCE = Duration.ofMillis(50);

  /** About the time in which an endpoint's queue of four slots empties. */
  private static final Duration MIN_REFUSAL_AVOIDANCE = Duration.ofMillis(20);

  /** At most 160 ms, so that an endpoint that recovers is soon used again. */
  private static final int MAX_REFUSAL_DOUBLINGS = 3;

  /** A refusal later than this after the end of the last avoidance is not taken as one of a row. */
  private static final Duration REFUSAL_MEMORY = Duration.ofMillis(200);

  private final InstantSource clock;
  private final AtomicReference<State> state;
  private final AtomicReference<Refusals> refusals =
      new AtomicReference<>(new Refusals(Instant.MIN, 0));
  private volatile double turn;

  EndpointHealth(InstantSource clock) {
    this.clock = clock;
    this.state =
        new AtomicReference<>(
            new State(
                INITIAL_ANSWER_TIME, Instant.MIN, 0, Position.NONE, Position.NONE, Instant.MIN, 0));
  }

  /** Returns the exponentially smoothed time that the endpoint takes to answer a statement. */
  public Duration answerTime() {
    return state.get().answerTime();
  }

  /** Returns whether the endpoint has failed recently and should be avoided. */
  public boolean isSuspect() {
    return clock.instant().isBefore(state.get().suspectUntil());
  }

  /** Returns whether the log probably lacks a position, so that a read would be refused. */
  public boolean lacks(Position needed) {
    State known = state.get();
    return !known.latestPosition().includes(needed)
        && needed.includes(known.missingPosition())
        && clock.instant().isBefore(known.behindUntil());
  }

  /** Records that the endpoint could not be reached or did not answer in time. */
  public void recordFailure() {
    Instant now = clock.instant();
    state.updateAndGet(known -> known.withFailure(now));
  }

  /** Records that the endpoint refused a read because its log lacked a position. */
  public void recordMissingPosition(Position position) {
    Instant now = clock.instant();
    state.updateAndGet(known -> known.withMissingPosition(position, now));
  }

  /** Returns whether the endpoint has refused a statement a moment ago because of its load. */
  public boolean isOverloaded() {
    return clock.instant().isBefore(refusals.get().avoidUntil());
  }

  /** Records that the endpoint refused a statement because of its load. */
  public void recordOverload() {
    Instant now = clock.instant();
    refusals.updateAndGet(known -> known.withOne(now));
  }

  /** Returns the endpoint's next turn among those that reads are divided among; zero at first. */
  public double turn() {
    return turn;
  }

  /** Sets the endpoint's next turn. An update lost to a concurrent one costs a single turn. */
  public void setTurn(double next) {
    turn = next;
  }

  void recordAnswer() {
    state.updateAndGet(known -> known.withAnswer(known.answerTime()));
  }

  void recordAnswer(Duration time) {
    state.updateAndGet(known -> known.withAnswer(smoothed(known.answerTime(), time)));
  }

  /** Records the end of the endpoint's log. */
  public void recordPosition(Position position) {
    state.updateAndGet(known -> known.withPosition(position));
  }

  private static Duration smoothed(Duration known, Duration latest) {
    double nanoseconds = known.toNanos() * (1 - LATEST_WEIGHT) + latest.toNanos() * LATEST_WEIGHT;
    return Duration.ofNanos((long) nanoseconds);
  }

  private record Refusals(Instant avoidUntil, int inRow) {
    Refusals withOne(Instant now) {
      if (now.isBefore(avoidUntil)) {
        return this;
      }
      boolean first = inRow == 0 || now.isAfter(avoidUntil.plus(REFUSAL_MEMORY));
      int doublings = first ? 0 : Math.min(inRow, MAX_REFUSAL_DOUBLINGS);
      return new Refusals(
          now.plus(MIN_REFUSAL_AVOIDANCE.multipliedBy(1L << doublings)), doublings + 1);
    }
  }

  private record State(
      Duration answerTime,
      Instant suspectUntil,
      int failures,
      Position latestPosition,
      Position missingPosition,
      Instant behindUntil,
      int lagCount) {
    State withAnswer(Duration time) {
      return new State(
          time, Instant.MIN, 0, latestPosition, missingPosition, behindUntil, lagCount);
    }

    State withFailure(Instant now) {
      Duration pause = MIN_SUSPECT_TIME.multipliedBy(1L << Math.min(failures, MAX_DOUBLINGS));
      return new State(
          answerTime,
          now.plus(pause),
          failures + 1,
          latestPosition,
          missingPosition,
          behindUntil,
          lagCount);
    }

    State withMissingPosition(Position position, Instant now) {
      Duration pause = MIN_LAG_AVOIDANCE.multipliedBy(1L << Math.min(lagCount, MAX_DOUBLINGS));
      return new State(
          answerTime,
          suspectUntil,
          failures,
          latestPosition,
          position,
          now.plus(pause),
          lagCount + 1);
    }

    State withPosition(Position position) {
      if (latestPosition.includes(position)) {
        return this;
      }
      int lagsLeft = position.includes(missingPosition) ? 0 : lagCount;
      return new State(
          answerTime, suspectUntil, failures, position, missingPosition, behindUntil, lagsLeft);
    }
  }
}

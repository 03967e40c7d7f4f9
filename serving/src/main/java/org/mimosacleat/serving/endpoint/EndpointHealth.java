package org.mimosacleat.serving.endpoint;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicReference;
import org.mimosacleat.core.position.Position;

/** The health of an endpoint as seen in its answers and time-outs, not in its own reports. */
public final class EndpointHealth {
  private static final Duration FIRST_ESTIMATE = Duration.ofMillis(20);
  private static final double WEIGHT_OF_LATEST = 0.1;
  private static final Duration SHORTEST_AVOIDANCE = Duration.ofMillis(200);
  private static final int MOST_DOUBLINGS = 4;
  private static final Duration SHORTEST_LAG_PAUSE = Duration.ofMillis(50);

  private final InstantSource clock;
  private final AtomicReference<View> view;

  EndpointHealth(InstantSource clock) {
    this.clock = clock;
    this.view =
        new AtomicReference<>(
            new View(FIRST_ESTIMATE, Instant.MIN, 0, Position.NONE, Position.NONE, Instant.MIN, 0));
  }

  /** Returns the exponentially smoothed time that the endpoint takes to answer a statement. */
  public Duration answerTime() {
    return view.get().answerTime();
  }

  /** Returns whether the endpoint has failed recently and should be avoided. */
  public boolean isSuspect() {
    return clock.instant().isBefore(view.get().suspectUntil());
  }

  /** Returns whether the log probably lacks a position, so that a read would be refused. */
  public boolean lacks(Position needed) {
    View known = view.get();
    return !known.seen().includes(needed)
        && needed.includes(known.lacked())
        && clock.instant().isBefore(known.behindUntil());
  }

  /** Records that the endpoint could not be reached or did not answer in time. */
  public void failed() {
    Instant now = clock.instant();
    view.updateAndGet(known -> known.failed(now));
  }

  /** Records that the endpoint refused a read because its log lacked a position. */
  public void lacked(Position position) {
    Instant now = clock.instant();
    view.updateAndGet(known -> known.lacked(position, now));
  }

  void answered() {
    view.updateAndGet(known -> known.answered(known.answerTime()));
  }

  void answered(Duration time) {
    view.updateAndGet(known -> known.answered(smoothed(known.answerTime(), time)));
  }

  /** Records the end of the endpoint's log. */
  public void sawPosition(Position position) {
    view.updateAndGet(known -> known.at(position));
  }

  private static Duration smoothed(Duration known, Duration latest) {
    double nanoseconds =
        known.toNanos() * (1 - WEIGHT_OF_LATEST) + latest.toNanos() * WEIGHT_OF_LATEST;
    return Duration.ofNanos((long) nanoseconds);
  }

  private record View(
      Duration answerTime,
      Instant suspectUntil,
      int failures,
      Position seen,
      Position lacked,
      Instant behindUntil,
      int lags) {
    View answered(Duration time) {
      return new View(time, Instant.MIN, 0, seen, lacked, behindUntil, lags);
    }

    View failed(Instant now) {
      Duration pause = SHORTEST_AVOIDANCE.multipliedBy(1L << Math.min(failures, MOST_DOUBLINGS));
      return new View(answerTime, now.plus(pause), failures + 1, seen, lacked, behindUntil, lags);
    }

    View lacked(Position position, Instant now) {
      Duration pause = SHORTEST_LAG_PAUSE.multipliedBy(1L << Math.min(lags, MOST_DOUBLINGS));
      return new View(
          answerTime, suspectUntil, failures, seen, position, now.plus(pause), lags + 1);
    }

    View at(Position position) {
      if (seen.includes(position)) {
        return this;
      }
      int lagsLeft = position.includes(lacked) ? 0 : lags;
      return new View(answerTime, suspectUntil, failures, position, lacked, behindUntil, lagsLeft);
    }
  }
}

package org.mimosacleat.serving.endpoint;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicReference;

/** What is known of an endpoint from its answers and silences, rather than from its reports. */
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
            new View(FIRST_ESTIMATE, Instant.MIN, Instant.MIN, Instant.MIN, 0, 0));
  }

  /** Returns how long a statement takes here, smoothed. */
  public Duration answerTime() {
    return view.get().answerTime();
  }

  /** Returns when the endpoint last answered anything. */
  public Instant lastAnswerAt() {
    return view.get().lastAnswerAt();
  }

  /** Tells whether the endpoint has failed lately and should be avoided. */
  public boolean isSuspect() {
    return clock.instant().isBefore(view.get().suspectUntil());
  }

  /**
   * Tells whether the endpoint lacked a position lately, so that a read is likely to be refused.
   */
  public boolean isBehind() {
    return clock.instant().isBefore(view.get().behindUntil());
  }

  /** Takes note that the endpoint could not be reached or went silent. */
  public void failed() {
    Instant now = clock.instant();
    view.updateAndGet(known -> known.failed(now));
  }

  /** Takes note that the endpoint lacked a position. */
  public void behind() {
    Instant now = clock.instant();
    view.updateAndGet(known -> known.behind(now));
  }

  void answered() {
    Instant now = clock.instant();
    view.updateAndGet(known -> known.answered(known.answerTime(), now));
  }

  void answered(Duration time) {
    Instant now = clock.instant();
    view.updateAndGet(known -> known.answered(smoothed(known.answerTime(), time), now));
  }

  /** Takes note that the endpoint had the position of a read. */
  public void caughtUp() {
    view.updateAndGet(View::caughtUp);
  }

  private static Duration smoothed(Duration known, Duration latest) {
    double nanoseconds =
        known.toNanos() * (1 - WEIGHT_OF_LATEST) + latest.toNanos() * WEIGHT_OF_LATEST;
    return Duration.ofNanos((long) nanoseconds);
  }

  private record View(
      Duration answerTime,
      Instant lastAnswerAt,
      Instant suspectUntil,
      Instant behindUntil,
      int failures,
      int lags) {
    View answered(Duration time, Instant now) {
      return new View(time, now, Instant.MIN, behindUntil, 0, lags);
    }

    View failed(Instant now) {
      Duration pause = SHORTEST_AVOIDANCE.multipliedBy(1L << Math.min(failures, MOST_DOUBLINGS));
      return new View(answerTime, lastAnswerAt, now.plus(pause), behindUntil, failures + 1, lags);
    }

    View behind(Instant now) {
      Duration pause = SHORTEST_LAG_PAUSE.multipliedBy(1L << Math.min(lags, MOST_DOUBLINGS));
      return new View(answerTime, lastAnswerAt, suspectUntil, now.plus(pause), failures, lags + 1);
    }

    View caughtUp() {
      return lags == 0
          ? this
          : new View(answerTime, lastAnswerAt, suspectUntil, Instant.MIN, failures, 0);
    }
  }
}

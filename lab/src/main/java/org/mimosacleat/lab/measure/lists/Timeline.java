package org.mimosacleat.lab.measure.lists;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.mimosacleat.core.time.PausedClock;

/** Runs steps in the order of their times on a paused clock; equal times in order of insertion. */
final class Timeline {
  private final PausedClock clock = new PausedClock();
  private final PriorityQueue<Step> steps =
      new PriorityQueue<>(Comparator.comparing(Step::at).thenComparing(Step::number));
  private long inserted;

  private record Step(Instant at, long number, Runnable action) {}

  PausedClock clock() {
    return clock;
  }

  void after(Duration delay, Runnable action) {
    at(clock.instant().plus(delay), action);
  }

  void at(Instant time, Runnable action) {
    steps.add(new Step(time, inserted++, action));
  }

  /** Runs all steps up to {@code end}. */
  void runUntil(Instant end) {
    while (!steps.isEmpty() && !steps.peek().at().isAfter(end)) {
      Step step = steps.poll();
      Duration wait = Duration.between(clock.instant(), step.at());
      if (wait.isPositive()) {
        clock.advance(wait);
      }
      step.action().run();
    }
  }
}

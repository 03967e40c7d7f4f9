package org.mimosacleat.lab.measure.lists;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.mimosacleat.core.time.PausedClock;

/** Runs events in the order of their times; equal times run in the order of insertion. */
final class EventQueue {
  private final PausedClock clock = new PausedClock();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparing(Event::time).thenComparing(Event::sequence));
  private long nextSequence;

  private record Event(Instant time, long sequence, Runnable action) {}

  PausedClock clock() {
    return clock;
  }

  void scheduleAfter(Duration delay, Runnable action) {
    scheduleAt(clock.instant().plus(delay), action);
  }

  void scheduleAt(Instant time, Runnable action) {
    events.add(new Event(time, nextSequence++, action));
  }

  /** Runs all events that are due until {@code end}. */
  void runUntil(Instant end) {
    while (!events.isEmpty() && !events.peek().time().isAfter(end)) {
      Event event = events.poll();
      Duration wait = Duration.between(clock.instant(), event.time());
      if (wait.isPositive()) {
        clock.advance(wait);
      }
      event.action().run();
    }
  }
}

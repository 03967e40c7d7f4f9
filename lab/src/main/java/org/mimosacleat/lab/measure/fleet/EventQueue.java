package org.mimosacleat.lab.measure.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.mimosacleat.core.time.PausedClock;

/**
 * Runs events in the order of their times and advances a paused clock to the time of each event.
 */
final class EventQueue {
  private final PausedClock clock = new PausedClock();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparing(Event::time).thenComparingLong(Event::sequence));
  private long nextSequence;

  PausedClock clock() {
    return clock;
  }

  void scheduleAfter(Duration delay, Runnable action) {
    events.add(new Event(clock.instant().plus(delay), nextSequence++, action));
  }

  /** Runs all events that are due until {@code end}, then advances the clock to {@code end}. */
  void runUntil(Instant end) {
    while (!events.isEmpty() && !events.peek().time().isAfter(end)) {
      Event event = events.poll();
      clock.advance(Duration.between(clock.instant(), event.time()));
      event.action().run();
    }
    clock.advance(Duration.between(clock.instant(), end));
  }

  private record Event(Instant time, long sequence, Runnable action) {}
}

package org.mimosacleat.lab.measure.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.mimosacleat.core.time.PausedClock;

/** Runs events in the order of their times on a clock that jumps from one to the next. */
final class EventQueue {
  private final PausedClock clock = new PausedClock();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparing(Event::at).thenComparingLong(Event::order));
  private long orders;

  PausedClock clock() {
    return clock;
  }

  void after(Duration delay, Runnable work) {
    events.add(new Event(clock.instant().plus(delay), orders++, work));
  }

  /** Runs all events up to {@code end}, and moves the clock there. */
  void runUntil(Instant end) {
    while (!events.isEmpty() && !events.peek().at().isAfter(end)) {
      Event event = events.poll();
      clock.advance(Duration.between(clock.instant(), event.at()));
      event.work().run();
    }
    clock.advance(Duration.between(clock.instant(), end));
  }

  private record Event(Instant at, long order, Runnable work) {}
}

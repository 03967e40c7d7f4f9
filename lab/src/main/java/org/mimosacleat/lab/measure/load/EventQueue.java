package org.mimosacleat.lab.measure.load;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.mimosacleat.core.time.PausedClock;

/** Runs events in the order of their times and moves a paused clock along with them. */
final class EventQueue {
  private final PausedClock clock = new PausedClock();
  private final Instant start = clock.instant();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
  private long now;
  private long order;

  private record Event(long at, long order, Runnable action) {}

  PausedClock clock() {
    return clock;
  }

  /** Returns the nanoseconds since the start. */
  long now() {
    return now;
  }

  Instant instantAt(long nanoseconds) {
    return start.plusNanos(nanoseconds);
  }

  void at(long nanoseconds, Runnable action) {
    events.add(new Event(Math.max(now, nanoseconds), order++, action));
  }

  void after(long nanoseconds, Runnable action) {
    at(now + nanoseconds, action);
  }

  void runUntil(long end) {
    while (!events.isEmpty() && events.peek().at() <= end) {
      Event event = events.poll();
      clock.advance(Duration.ofNanos(event.at() - now));
      now = event.at();
      event.action().run();
    }
  }
}

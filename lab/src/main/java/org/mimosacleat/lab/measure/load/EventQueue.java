package org.mimosacleat.lab.measure.load;

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
  private final Instant start = clock.instant();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::time).thenComparingLong(Event::sequence));
  private long now;
  private long nextSequence;

  private record Event(long time, long sequence, Runnable action) {}

  PausedClock clock() {
    return clock;
  }

  /** Returns the simulated time since the start, in nanoseconds. */
  long now() {
    return now;
  }

  Instant instantAt(long nanoseconds) {
    return start.plusNanos(nanoseconds);
  }

  void scheduleAt(long nanoseconds, Runnable action) {
    events.add(new Event(Math.max(now, nanoseconds), nextSequence++, action));
  }

  void scheduleAfter(long nanoseconds, Runnable action) {
    scheduleAt(now + nanoseconds, action);
  }

  void runUntil(long end) {
    while (!events.isEmpty() && events.peek().time() <= end) {
      Event event = events.poll();
      clock.advance(Duration.ofNanos(event.time() - now));
      now = event.time();
      event.action().run();
    }
  }
}

package org.mimosacleat.lab.measure;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.mimosacleat.core.time.PausedClock;

/** Runs events in the order of their times, and advances a paused clock to the time of each. */
public final class EventQueue {
  private final PausedClock clock = new PausedClock();
  private final Instant start = clock.instant();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparing(Event::at).thenComparingLong(Event::order));
  private long order;

  /** Returns the clock, which shows the time of the event that is running. */
  public PausedClock clock() {
    return clock;
  }

  /** Returns the time since the start. */
  public Duration now() {
    return Duration.between(start, clock.instant());
  }

  /** Runs {@code action} after {@code delay}, which must not be negative. */
  public void after(Duration delay, Runnable action) {
    events.add(new Event(clock.instant().plus(delay), order++, action));
  }

  /** Runs all events up to {@code end} after the start. */
  public void runUntil(Duration end) {
    Instant limit = start.plus(end);
    while (!events.isEmpty() && !events.peek().at().isAfter(limit)) {
      Event event = events.poll();
      clock.advance(Duration.between(clock.instant(), event.at()));
      event.action().run();
    }
  }

  private record Event(Instant at, long order, Runnable action) {}
}

package org.mimosacleat.lab.measure;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.mimosacleat.core.time.PausedClock;

/**
 * Discrete-event simulation: runs events in the order of their times, and advances a paused clock
 * to the time of each event. Events with equal times run in the order of insertion.
 */
public final class EventQueue {
  private final PausedClock clock = new PausedClock();
  private final Instant start = clock.instant();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparing(Event::time).thenComparingLong(Event::sequence));
  private long nextSequence;

  /** Returns the simulated clock, which shows the time of the running event. */
  public PausedClock clock() {
    return clock;
  }

  /** Returns the simulated time since the start. */
  public Duration elapsed() {
    return Duration.between(start, clock.instant());
  }

  /** Schedules {@code action} after {@code delay}, which must not be negative. */
  public void scheduleAfter(Duration delay, Runnable action) {
    events.add(new Event(clock.instant().plus(delay), nextSequence++, action));
  }

  /** Runs all events that are due until {@code end}, measured from the start. */
  public void runUntil(Duration end) {
    Instant limit = start.plus(end);
    while (!events.isEmpty() && !events.peek().time().isAfter(limit)) {
      Event event = events.poll();
      clock.advance(Duration.between(clock.instant(), event.time()));
      event.action().run();
    }
  }

  private record Event(Instant time, long sequence, Runnable action) {}
}

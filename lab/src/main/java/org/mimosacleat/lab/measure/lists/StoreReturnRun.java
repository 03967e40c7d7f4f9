package org.mimosacleat.lab.measure.lists;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.mimosacleat.core.time.PausedClock;

/**
 * Simulates an outage of a store of limited capacity and the requests of a fleet around its end.
 */
final class StoreReturnRun {
  private static final long CAPACITY_PER_SECOND = 2000;

  private final EventQueue events = new EventQueue();
  private final Instant start = events.clock().instant();
  private final Instant availableFrom;
  private final Instant end;
  private final Map<Long, Long> requestsBySecond = new HashMap<>();
  private long servedProcesses;
  private Instant lastFirstResponse = Instant.MIN;

  StoreReturnRun(Duration outage, Duration timeAfter) {
    this.availableFrom = start.plus(outage);
    this.end = availableFrom.plus(timeAfter);
  }

  PausedClock clock() {
    return events.clock();
  }

  void add(RetryPolicy process) {
    events.scheduleAt(start, () -> attempt(process, false));
  }

  void run() {
    events.runUntil(end);
  }

  Instant availableFrom() {
    return availableFrom;
  }

  /** Returns the time at which the last of the served processes received its first answer. */
  Instant lastFirstResponse() {
    return servedProcesses == 0 ? availableFrom : lastFirstResponse;
  }

  long servedProcesses() {
    return servedProcesses;
  }

  /**
   * Returns the most requests in one second of the outage. The first minute is excluded, because
   * all processes fail simultaneously in it.
   */
  long peakDuringOutage() {
    return peak(Duration.ofMinutes(1).toSeconds(), second(availableFrom));
  }

  long peakAfterReturn() {
    return peak(second(availableFrom), second(end));
  }

  private void attempt(RetryPolicy process, boolean servedBefore) {
    Optional<Instant> deferredUntil = process.deferredUntil();
    if (deferredUntil.isPresent()) {
      events.scheduleAt(deferredUntil.get(), () -> attempt(process, servedBefore));
      return;
    }
    boolean answered = recordRequest();
    if (answered && !servedBefore) {
      servedProcesses++;
      lastFirstResponse = clock().instant();
    }
    Instant next = process.recordResult(answered);
    events.scheduleAt(next, () -> attempt(process, servedBefore || answered));
  }

  private boolean recordRequest() {
    Instant now = clock().instant();
    long requests = requestsBySecond.merge(second(now), 1L, Long::sum);
    return !now.isBefore(availableFrom) && requests <= CAPACITY_PER_SECOND;
  }

  private long second(Instant time) {
    return Duration.between(start, time).toSeconds();
  }

  private long peak(long from, long to) {
    return requestsBySecond.entrySet().stream()
        .filter(entry -> entry.getKey() >= from && entry.getKey() < to)
        .mapToLong(Map.Entry::getValue)
        .max()
        .orElse(0);
  }
}

package org.mimosacleat.lab.measure.lists;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.mimosacleat.core.time.PausedClock;

/** One outage of a store of limited capacity, and the requests of a fleet around its end. */
final class StoreReturn {
  private static final long CAPACITY_PER_SECOND = 2000;

  private final Timeline timeline = new Timeline();
  private final Instant start = timeline.clock().instant();
  private final Instant returnedAt;
  private final Instant end;
  private final Map<Long, Long> requestsOfSecond = new HashMap<>();
  private long served;
  private Instant lastFirstAnswer = Instant.MIN;

  StoreReturn(Duration outage, Duration after) {
    this.returnedAt = start.plus(outage);
    this.end = returnedAt.plus(after);
  }

  PausedClock clock() {
    return timeline.clock();
  }

  void add(Retries process) {
    timeline.at(start, () -> step(process, false));
  }

  void run() {
    timeline.runUntil(end);
  }

  Instant returnedAt() {
    return returnedAt;
  }

  /** Returns when the last process had its first answer. */
  Instant lastFirstAnswer() {
    return served == 0 ? returnedAt : lastFirstAnswer;
  }

  long served() {
    return served;
  }

  /** Returns the busiest second of the outage but its first minute, in which all fail at once. */
  long peakWhileDown() {
    return peak(Duration.ofMinutes(1).toSeconds(), second(returnedAt));
  }

  long peakAfter() {
    return peak(second(returnedAt), second(end));
  }

  private void step(Retries process, boolean servedBefore) {
    Optional<Instant> later = process.waitUntil();
    if (later.isPresent()) {
      timeline.at(later.get(), () -> step(process, servedBefore));
      return;
    }
    boolean answered = answers();
    if (answered && !servedBefore) {
      served++;
      lastFirstAnswer = clock().instant();
    }
    Instant next = process.report(answered);
    timeline.at(next, () -> step(process, servedBefore || answered));
  }

  private boolean answers() {
    Instant now = clock().instant();
    long requests = requestsOfSecond.merge(second(now), 1L, Long::sum);
    return !now.isBefore(returnedAt) && requests <= CAPACITY_PER_SECOND;
  }

  private long second(Instant time) {
    return Duration.between(start, time).toSeconds();
  }

  private long peak(long from, long to) {
    return requestsOfSecond.entrySet().stream()
        .filter(entry -> entry.getKey() >= from && entry.getKey() < to)
        .mapToLong(Map.Entry::getValue)
        .max()
        .orElse(0);
  }
}

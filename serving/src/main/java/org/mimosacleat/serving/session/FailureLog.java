package org.mimosacleat.serving.session;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicReference;
import org.mimosacleat.serving.fleet.DatabaseName;
import org.mimosacleat.serving.fleet.FleetPicture;
import org.mimosacleat.serving.statement.Answer;
import org.mimosacleat.serving.statement.ClientStatement;
import org.tinylog.Logger;

/**
 * Logs one line for each statement that failed: its id, what decided, the version of the
 * configuration, and the outcome. In a flood of failures only so many lines a second are written;
 * the next second tells how many were left out.
 */
final class FailureLog {
  private static final int LINES_PER_SECOND = 40;
  private static final Duration SECOND = Duration.ofSeconds(1);

  private final InstantSource clock;
  private final AtomicReference<Window> window = new AtomicReference<>(new Window(Instant.MIN, 0));

  FailureLog(InstantSource clock) {
    this.clock = clock;
  }

  /** Logs a statement if it failed. */
  void note(
      ClientStatement statement,
      DatabaseName database,
      FleetPicture picture,
      Answer answer,
      Instant arrivedAt) {
    if (answer.isDone() || !hasRoom()) {
      return;
    }
    Logger.info(
        "statement {} on {}: {}, {} ms, configuration {}: {}",
        statement.id(),
        database,
        answer.failure().orElseThrow().kind(),
        Duration.between(arrivedAt, clock.instant()).toMillis(),
        picture.configuration().map(configuration -> configuration.version()).orElse(0L),
        answer.failure().orElseThrow().detail());
  }

  private boolean hasRoom() {
    Instant now = clock.instant();
    Window before = window.getAndUpdate(known -> known.next(now));
    if (before.endsBefore(now) && before.count() > LINES_PER_SECOND) {
      Logger.warn("failed statements left out of the log: {}", before.count() - LINES_PER_SECOND);
    }
    return before.endsBefore(now) || before.count() < LINES_PER_SECOND;
  }

  /** The lines that were asked for since a moment. */
  private record Window(Instant start, long count) {
    boolean endsBefore(Instant now) {
      return start.equals(Instant.MIN) || Duration.between(start, now).compareTo(SECOND) > 0;
    }

    Window next(Instant now) {
      return endsBefore(now) ? new Window(now, 1) : new Window(start, count + 1);
    }
  }
}

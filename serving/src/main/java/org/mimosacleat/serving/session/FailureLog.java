package org.mimosacleat.serving.session;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicReference;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.serving.fleet.DatabaseName;
import org.mimosacleat.serving.fleet.FleetSnapshot;
import org.mimosacleat.serving.statement.Answer;
import org.mimosacleat.serving.statement.ClientStatement;
import org.tinylog.Logger;

/**
 * Logs one line for each refused session and for each failed statement: its id, database, error
 * kind, duration, configuration version and error detail. The number of lines per second is
 * limited; the first failure after that second logs how many lines were omitted.
 */
final class FailureLog {
  private static final int MAX_LINES_PER_SECOND = 15;
  private static final Duration WINDOW_LENGTH = Duration.ofSeconds(1);

  private final InstantSource clock;
  private final AtomicReference<Window> window = new AtomicReference<>(new Window(Instant.MIN, 0));

  FailureLog(InstantSource clock) {
    this.clock = clock;
  }

  /** Logs the statement if it failed. */
  void logIfFailed(
      ClientStatement statement,
      DatabaseName database,
      FleetSnapshot snapshot,
      Answer answer,
      Instant arrivedAt) {
    if (answer.isDone() || !tryAcquireLine()) {
      return;
    }
    Logger.info(
        "statement {} on {} failed: {} after {} ms, configuration {}: {}",
        statement.id(),
        database,
        answer.failure().orElseThrow().kind(),
        Duration.between(arrivedAt, clock.instant()).toMillis(),
        snapshot.configuration().map(configuration -> configuration.version()).orElse(0L),
        answer.failure().orElseThrow().detail());
  }

  /** Logs a session that was refused at its start. */
  void logRefusedStart(DatabaseName database, FleetSnapshot snapshot, Failure failure) {
    if (!tryAcquireLine()) {
      return;
    }
    Logger.info(
        "session on {} refused: {}, configuration {}: {}",
        database,
        failure.kind(),
        snapshot.configuration().map(configuration -> configuration.version()).orElse(0L),
        failure.detail());
  }

  private boolean tryAcquireLine() {
    Instant now = clock.instant();
    Window before = window.getAndUpdate(known -> known.next(now));
    if (before.endsBefore(now) && before.count() > MAX_LINES_PER_SECOND) {
      Logger.warn(
          "log rate limit reached: failures not logged: {}", before.count() - MAX_LINES_PER_SECOND);
    }
    return before.endsBefore(now) || before.count() < MAX_LINES_PER_SECOND;
  }

  /** Counts the failures, logged or not, since the start of the window. */
  private record Window(Instant start, long count) {
    boolean endsBefore(Instant now) {
      return start.equals(Instant.MIN) || Duration.between(start, now).compareTo(WINDOW_LENGTH) > 0;
    }

    Window next(Instant now) {
      return endsBefore(now) ? new Window(now, 1) : new Window(start, count + 1);
    }
  }
}

package org.mimosacleat.serving.drain;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

/**
 * How far the drain of a proxy is, and so which work the proxy still begins. Work that might not
 * end before the process does is refused while the client has time to try another proxy.
 */
public final class DrainProgress {
  /** Part of the grace period for the last answers and the exit of the process. */
  private static final Duration RESERVE = Duration.ofMillis(1_000);

  /**
   * Part of the reserve for the exit of the process alone: the runtime waits 300 ms for threads
   * that are in a call to the system, in steps that each last longer on a busy machine.
   */
  private static final Duration EXIT_RESERVE = Duration.ofMillis(800);

  /** For the way back of an answer that arrives at the timeout of its statement. */
  private static final Duration ANSWER_MARGIN = Duration.ofMillis(150);

  private static final int NEW_WORK_DIVISOR = 2;

  private final InstantSource clock;
  private final DrainTimes times;
  private final AtomicReference<Optional<Instant>> start = new AtomicReference<>(Optional.empty());

  /** Creates the progress of a drain that has not started. */
  public DrainProgress(InstantSource clock, DrainTimes times) {
    this.clock = clock;
    this.times = times;
  }

  /** Starts the drain; without effect if it has started. */
  public void start() {
    start.compareAndSet(Optional.empty(), Optional.of(clock.instant()));
  }

  /** Returns whether the proxy is draining and so must not report itself as ready. */
  public boolean hasStarted() {
    return start.get().isPresent();
  }

  /**
   * Returns whether sessions, transactions and statements outside of transactions begin: until half
   * of the grace period has passed.
   */
  public boolean takesNewWork() {
    return isBefore(newWorkDuration());
  }

  /** Returns whether a statement of an open transaction will have ended before the process does. */
  public boolean canFinish(Duration statementTimeout) {
    return takesNewWork() || isBefore(endOfWork().minus(statementTimeout).minus(ANSWER_MARGIN));
  }

  /** Returns whether new clients may still arrive, so that sessions are not closed yet. */
  boolean expectsClients() {
    boolean delayIsShorter = times.readinessDelay().compareTo(newWorkDuration()) < 0;
    return isBefore(delayIsShorter ? times.readinessDelay() : newWorkDuration());
  }

  /** Returns whether work that has begun may go on. */
  boolean allowsWork() {
    return isBefore(endOfWork());
  }

  /** Returns the time left until the process should exit; not negative. */
  public Duration timeUntilExit() {
    Duration left = times.grace().minus(EXIT_RESERVE).minus(elapsed());
    return left.isNegative() ? Duration.ZERO : left;
  }

  /** Returns the time since the drain started; zero before. */
  Duration elapsed() {
    return start
        .get()
        .map(started -> Duration.between(started, clock.instant()))
        .orElse(Duration.ZERO);
  }

  private boolean isBefore(Duration sinceStart) {
    return !hasStarted() || elapsed().compareTo(sinceStart) < 0;
  }

  private Duration newWorkDuration() {
    return times.grace().dividedBy(NEW_WORK_DIVISOR);
  }

  private Duration endOfWork() {
    return times.grace().minus(RESERVE);
  }
}

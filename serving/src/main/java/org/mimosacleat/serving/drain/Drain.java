package org.mimosacleat.serving.drain;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicBoolean;
import org.mimosacleat.core.time.Sleeper;
import org.tinylog.Logger;

/**
 * Stops a proxy without interrupting requests. It first reports the proxy as not ready and
 * continues to serve until no new clients are expected; then it closes sessions between two
 * requests. Transactions have the first half of the grace period to end.
 */
public final class Drain {
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(20);

  /** Part of the grace period that is reserved for the exit of the process. */
  private static final Duration RESERVE = Duration.ofMillis(600);

  private final ClientChannels channels;
  private final RelayedWork relayedWork;
  private final InstantSource clock;
  private final Sleeper sleeper;
  private final DrainTimes times;
  private final AtomicBoolean started = new AtomicBoolean();

  /** Creates a drain that has not started. */
  public Drain(
      ClientChannels channels,
      RelayedWork relayedWork,
      InstantSource clock,
      Sleeper sleeper,
      DrainTimes times) {
    this.channels = channels;
    this.relayedWork = relayedWork;
    this.clock = clock;
    this.sleeper = sleeper;
    this.times = times;
  }

  /** Returns whether the proxy is draining and so must not report itself as ready. */
  public boolean hasStarted() {
    return started.get();
  }

  private boolean hasWork() {
    return channels.count() > 0 || relayedWork.unfinished() > 0;
  }

  /** Drains; returns when no connection is open or only the reserve of the grace period is left. */
  public void run() {
    started.set(true);
    relayedWork.refuseNew();
    Instant start = clock.instant();
    Instant closingStart = start.plus(times.readinessDelay());
    Instant deadline = start.plus(times.grace()).minus(RESERVE);
    while (clock.instant().isBefore(closingStart)) {
      sleeper.sleep(CHECK_INTERVAL);
    }
    while (hasWork() && clock.instant().isBefore(deadline)) {
      channels.closeIdle();
      sleeper.sleep(CHECK_INTERVAL);
    }
    logEnd(start);
  }

  private void logEnd(Instant start) {
    Logger.info(
        "drain ended after {} ms: {} client connections open, {} statements running, {} requests of"
            + " other proxies unfinished",
        Duration.between(start, clock.instant()).toMillis(),
        channels.count(),
        channels.openStatements().size(),
        relayedWork.unfinished());
  }
}

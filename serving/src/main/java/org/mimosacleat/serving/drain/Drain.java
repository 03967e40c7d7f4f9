package org.mimosacleat.serving.drain;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicBoolean;
import org.mimosacleat.core.time.Sleeper;

/**
 * Stops a proxy without cutting a request. It first reports itself as not ready and goes on serving
 * until new clients stay away; then it closes sessions between two requests. Transactions have the
 * first half of the grace period to end.
 */
public final class Drain {
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(20);

  /** Kept back from the grace period for the end of the process. */
  private static final Duration RESERVE = Duration.ofMillis(600);

  private final ClientChannels channels;
  private final InstantSource clock;
  private final Sleeper sleeper;
  private final DrainTimes times;
  private final AtomicBoolean started = new AtomicBoolean();

  /** Makes a drain that has not started. */
  public Drain(ClientChannels channels, InstantSource clock, Sleeper sleeper, DrainTimes times) {
    this.channels = channels;
    this.clock = clock;
    this.sleeper = sleeper;
    this.times = times;
  }

  /** Tells whether the proxy is stopping, so that it must not report itself as ready. */
  public boolean hasStarted() {
    return started.get();
  }

  /** Drains, and returns when nothing is open or the grace period is nearly over. */
  public void run() {
    started.set(true);
    Instant start = clock.instant();
    Instant closing = start.plus(times.newClientsStayAway());
    Instant end = start.plus(times.grace()).minus(RESERVE);
    while (clock.instant().isBefore(closing)) {
      sleeper.sleep(CHECK_INTERVAL);
    }
    while (channels.count() > 0 && clock.instant().isBefore(end)) {
      channels.closeIdle();
      sleeper.sleep(CHECK_INTERVAL);
    }
  }
}

package org.mimosacleat.core.time;

import java.time.Duration;

/** Blocks the calling thread. Tests use one that advances a {@link PausedClock} instead. */
@FunctionalInterface
public interface Sleeper {
  /** Calls {@link Thread#sleep}. An interrupt ends the wait; the interrupt status stays set. */
  Sleeper SYSTEM =
      duration -> {
        try {
          Thread.sleep(duration);
        } catch (InterruptedException interrupted) {
          Thread.currentThread().interrupt();
        }
      };

  /** Waits for {@code duration}. */
  void sleep(Duration duration);
}

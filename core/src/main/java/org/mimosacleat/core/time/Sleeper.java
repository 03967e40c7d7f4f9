package org.mimosacleat.core.time;

import java.time.Duration;

/** Lets the calling thread wait; tests give one that advances a {@link PausedClock} instead. */
@FunctionalInterface
public interface Sleeper {
  /** Waits on the runtime's clock; an interrupt ends the wait and stays set on the thread. */
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

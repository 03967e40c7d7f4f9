package org.mimosacleat.serving.routing;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/**
 * Detects that the machine was suspended. The monotonic clock stands still meanwhile, so what was
 * seen before looks more recent than it is; the wall clock runs ahead. A step of the wall clock is
 * taken for a suspension too, which costs only knowledge that has to be gained again.
 */
public final class SuspensionDetector {
  private static final Duration MAX_DRIFT = Duration.ofMillis(100);

  private final InstantSource clock;
  private final InstantSource wallClock;
  private Duration drift;
  private Instant lastDetectedAt = Instant.MIN;

  /**
   * Creates a detector.
   *
   * @param clock the monotonic clock
   * @param wallClock a clock that continues to run while the machine is suspended
   */
  public SuspensionDetector(InstantSource clock, InstantSource wallClock) {
    this.clock = clock;
    this.wallClock = wallClock;
    this.drift = drift();
  }

  /**
   * Returns the first time after the latest suspension was detected, by the monotonic clock.
   * Earlier times don't tell how long ago something happened.
   */
  public synchronized Instant lastDetectedAt() {
    Duration now = drift();
    if (now.minus(drift).compareTo(MAX_DRIFT) > 0) {
      // What was seen at this very moment may have been seen before the suspension.
      lastDetectedAt = clock.instant().plusNanos(1);
      drift = now;
    } else if (now.compareTo(drift) < 0) {
      drift = now;
    }
    return lastDetectedAt;
  }

  private Duration drift() {
    return Duration.between(clock.instant(), wallClock.instant());
  }
}

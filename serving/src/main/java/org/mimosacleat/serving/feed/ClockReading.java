package org.mimosacleat.serving.feed;

import java.time.Duration;
import java.time.Instant;
import org.mimosacleat.core.check.Checks;

/**
 * One moment on both clocks. The monotonic clock stops while the machine is suspended, and the wall
 * clock may be set back, so neither alone tells how much time has passed.
 *
 * @param monotonic the moment on the monotonic clock
 * @param wall the same moment on the wall clock
 */
public record ClockReading(Instant monotonic, Instant wall) {
  /** Checks the components. */
  public ClockReading {
    Checks.notNull("monotonic time", monotonic);
    Checks.notNull("wall-clock time", wall);
  }

  /** Returns the reading at an earlier moment. */
  public ClockReading minus(Duration age) {
    return new ClockReading(monotonic.minus(age), wall.minus(age));
  }

  /** Returns the larger of the times that have passed on the two clocks. */
  public Duration elapsedAt(ClockReading now) {
    Duration byMonotonic = Duration.between(monotonic, now.monotonic);
    Duration byWall = Duration.between(wall, now.wall);
    return byMonotonic.compareTo(byWall) > 0 ? byMonotonic : byWall;
  }
}

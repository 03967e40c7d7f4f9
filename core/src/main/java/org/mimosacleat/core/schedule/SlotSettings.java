package org.mimosacleat.core.schedule;

import java.time.Duration;
import org.mimosacleat.core.check.Checks;

/**
 * The settings of a {@link SlotScheduler}.
 *
 * @param reservedSlots the number of slots of each endpoint that long statements may not use; at
 *     least one slot always remains for long statements
 * @param longAge the waiting time after which a long statement takes precedence over short ones
 * @param maximumShortWait a short statement is refused if it would wait longer than this
 * @param maximumLongWait a long statement is refused if it would wait longer than this
 */
public record SlotSettings(
    int reservedSlots, Duration longAge, Duration maximumShortWait, Duration maximumLongWait) {
  /** The default settings. */
  public static final SlotSettings STANDARD =
      new SlotSettings(1, Duration.ofMillis(500), Duration.ofMillis(300), Duration.ofSeconds(30));

  /** Checks the values. */
  public SlotSettings {
    Checks.notNegative("reserved slots", reservedSlots);
    Checks.notNegative("age of long statements in nanoseconds", longAge.toNanos());
    Checks.positive("maximum short wait in nanoseconds", maximumShortWait.toNanos());
    Checks.positive("maximum long wait in nanoseconds", maximumLongWait.toNanos());
  }
}

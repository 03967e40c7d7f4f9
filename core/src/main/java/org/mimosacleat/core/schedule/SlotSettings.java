package org.mimosacleat.core.schedule;

import java.time.Duration;
import org.mimosacleat.core.check.Checks;

/**
 * The settings of a {@link SlotScheduler}.
 *
 * @param reservedSlots slots of each endpoint kept free of long statements; an endpoint always
 *     leaves long statements at least one slot
 * @param longAge a long statement that has waited this long goes ahead of short ones
 * @param maximumShortWait a short statement is refused when it would wait longer than this
 * @param maximumLongWait a long statement is refused when it would wait longer than this
 */
public record SlotSettings(
    int reservedSlots, Duration longAge, Duration maximumShortWait, Duration maximumLongWait) {
  /** The settings used unless an operator chooses others. */
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

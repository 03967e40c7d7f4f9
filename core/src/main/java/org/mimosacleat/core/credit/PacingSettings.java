package org.mimosacleat.core.credit;

import java.time.Duration;
import org.mimosacleat.core.check.Checks;

/**
 * The settings of a {@link CreditPacer}.
 *
 * @param period the time for which one ledger row reserves credits
 * @param minimumRate microcredits per second needed to keep the service running; reserved for all
 *     the time until expiry
 * @param maximumRate microcredits per second that the largest allowed fleet costs
 * @param safetyMargin the fraction of the credits that is never reserved, as a margin for limits
 *     that take effect late
 */
public record PacingSettings(
    Duration period, double minimumRate, double maximumRate, double safetyMargin) {
  /** Checks the values. */
  public PacingSettings {
    Checks.positive("period in nanoseconds", period.toNanos());
    Checks.between("minimum rate", minimumRate, 0, maximumRate);
    Checks.between("safety margin", safetyMargin, 0, 0.5);
  }
}

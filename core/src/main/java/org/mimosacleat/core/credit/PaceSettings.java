package org.mimosacleat.core.credit;

import java.time.Duration;
import org.mimosacleat.core.check.Checks;

/**
 * The settings of a {@link CreditPacer}.
 *
 * @param period for how long one row of the ledger reserves credits
 * @param minimumRate microcredits a second that keep the service alive; they are kept back for all
 *     the time until expiry
 * @param maximumRate microcredits a second that the largest fleet allowed costs
 * @param heldBack share of the credits that is never reserved, for limits that take effect late
 */
public record PaceSettings(
    Duration period, double minimumRate, double maximumRate, double heldBack) {
  /** Checks the values. */
  public PaceSettings {
    Checks.positive("period in nanoseconds", period.toNanos());
    Checks.between("minimum rate", minimumRate, 0, maximumRate);
    Checks.between("share held back", heldBack, 0, 0.5);
  }
}

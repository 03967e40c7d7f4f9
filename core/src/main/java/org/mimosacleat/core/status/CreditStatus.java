package org.mimosacleat.core.status;

import java.time.Instant;
import org.mimosacleat.core.check.Checks;

/**
 * The spending rate of one credit budget.
 *
 * @param budget the name of the budget
 * @param remaining the credits left
 * @param expiresAt when the remaining credits expire
 * @param pacePerHour the credits that may be spent per hour at the current rate
 * @param connectionLimit the number of connections that this rate pays for
 * @param wantedVms the number of VMs that this rate pays for
 */
public record CreditStatus(
    String budget,
    double remaining,
    Instant expiresAt,
    double pacePerHour,
    long connectionLimit,
    long wantedVms) {
  /** Validates the components. */
  public CreditStatus {
    Checks.name("budget", budget);
    Checks.notNull("expiry time", expiresAt);
  }
}

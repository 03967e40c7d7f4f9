package org.mimosacleat.core.status;

import java.time.Instant;
import org.mimosacleat.core.check.Checks;

/**
 * The pace of spending from one budget of credits.
 *
 * @param budget the name of the budget
 * @param remaining the credits left
 * @param expiresAt when they expire
 * @param pacePerHour the credits that may be spent in an hour at the present pace
 * @param connectionLimit the connections that the pace carries
 * @param wantedVms the VMs that the pace carries
 */
public record CreditStatus(
    String budget,
    double remaining,
    Instant expiresAt,
    double pacePerHour,
    long connectionLimit,
    long wantedVms) {
  /** Checks the parts. */
  public CreditStatus {
    Checks.name("budget", budget);
    Checks.notNull("time of expiry", expiresAt);
  }
}

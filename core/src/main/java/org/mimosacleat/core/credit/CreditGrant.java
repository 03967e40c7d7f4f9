package org.mimosacleat.core.credit;

import java.time.Instant;
import org.mimosacleat.core.check.Checks;

/**
 * Credits that an operator holds.
 *
 * @param microcredits how many, in millionths of a credit
 * @param start when spending began or begins
 * @param expiry when what is left becomes worthless
 */
public record CreditGrant(long microcredits, Instant start, Instant expiry) {
  /** Checks the values. */
  public CreditGrant {
    Checks.notNegative("microcredits", microcredits);
    if (!start.isBefore(expiry)) {
      throw new IllegalArgumentException(
          "credits must start before they expire, but start at " + start + ", expire at " + expiry);
    }
  }
}

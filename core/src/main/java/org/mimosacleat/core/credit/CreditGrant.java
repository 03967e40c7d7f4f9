package org.mimosacleat.core.credit;

import java.time.Instant;
import org.mimosacleat.core.check.Checks;

/**
 * A grant of credits to the operator.
 *
 * @param microcredits the amount, in millionths of a credit
 * @param start when the spending period starts
 * @param expiry when unspent credits expire
 */
public record CreditGrant(long microcredits, Instant start, Instant expiry) {
  /** Checks the values. */
  public CreditGrant {
    Checks.notNegative("microcredits", microcredits);
    if (!start.isBefore(expiry)) {
      throw new IllegalArgumentException(
          "credits must start before they expire, but start at "
              + start
              + " and expire at "
              + expiry);
    }
  }
}

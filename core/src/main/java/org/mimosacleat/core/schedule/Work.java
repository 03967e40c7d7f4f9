package org.mimosacleat.core.schedule;

import java.time.Instant;
import java.util.Set;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.TeamId;

/**
 * One statement that waits for a slot.
 *
 * @param customer the customer who submitted the statement
 * @param weight the customer's guaranteed share relative to other customers' weights; greater than
 *     0
 * @param fingerprint the shape of the statement
 * @param eligible the endpoints that may run it, at least one
 * @param deadline the time after which the answer is useless to the client
 * @param continuation whether it continues a transaction; it then takes precedence over other short
 *     work, because the transaction holds a connection and locks
 */
public record Work(
    TeamId customer,
    double weight,
    Fingerprint fingerprint,
    Set<EndpointId> eligible,
    Instant deadline,
    boolean continuation) {
  private static final double MIN_WEIGHT = 1e-6;
  private static final double MAX_WEIGHT = 1e6;

  /** Checks the values. */
  public Work {
    Checks.notNull("customer id", customer);
    Checks.between("weight", weight, MIN_WEIGHT, MAX_WEIGHT);
    Checks.notNull("fingerprint", fingerprint);
    Checks.notNull("deadline", deadline);
    Checks.positive("number of eligible endpoints", eligible.size());
  }
}

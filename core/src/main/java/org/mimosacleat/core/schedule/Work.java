package org.mimosacleat.core.schedule;

import java.time.Instant;
import java.util.Set;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.CustomerId;
import org.mimosacleat.core.id.EndpointId;

/**
 * One statement that waits for a slot.
 *
 * @param customer whose statement it is
 * @param weight the customer's guaranteed share in relation to other customers' weights, over 0
 * @param fingerprint the shape of the statement
 * @param eligible the endpoints that may serve it, at least one
 * @param deadline when its answer is of no use any more
 * @param continuation whether it continues a transaction; it then goes ahead of other short work,
 *     since it holds a connection and locks
 */
public record Work(
    CustomerId customer,
    double weight,
    Fingerprint fingerprint,
    Set<EndpointId> eligible,
    Instant deadline,
    boolean continuation) {
  private static final double MINIMUM_WEIGHT = 1e-6;
  private static final double MAXIMUM_WEIGHT = 1e6;

  /** Checks the parts. */
  public Work {
    Checks.notNull("customer id", customer);
    Checks.between("weight", weight, MINIMUM_WEIGHT, MAXIMUM_WEIGHT);
    Checks.notNull("fingerprint", fingerprint);
    Checks.notNull("deadline", deadline);
    Checks.positive("number of eligible endpoints", eligible.size());
  }
}

package org.mimosacleat.lab.measure.load;

import java.util.List;
import org.mimosacleat.core.id.CustomerId;

/**
 * One customer of the crest experiment.
 *
 * @param id its name
 * @param weight its guaranteed share in relation to the others' weights
 * @param crestLoad its demand at the crest, in relation to all slots
 */
record CrestCustomer(CustomerId id, double weight, double crestLoad) {
  /** Returns the share of all slots that is guaranteed among these customers. */
  double guaranteed(List<CrestCustomer> customers) {
    return weight / customers.stream().mapToDouble(CrestCustomer::weight).sum();
  }
}

package org.mimosacleat.lab.measure.load;

import java.util.List;
import org.mimosacleat.core.id.CustomerId;

/**
 * One customer of the peak experiment.
 *
 * @param id its name
 * @param weight its guaranteed share in relation to the others' weights
 * @param peakLoad its demand at peak load, in relation to all slots
 */
record PeakLoadCustomer(CustomerId id, double weight, double peakLoad) {
  /** Returns the share of all slots that is guaranteed among these customers. */
  double guaranteed(List<PeakLoadCustomer> customers) {
    return weight / customers.stream().mapToDouble(PeakLoadCustomer::weight).sum();
  }
}

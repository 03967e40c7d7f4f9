package org.mimosacleat.lab.measure.load;

import java.util.List;
import org.mimosacleat.core.id.TeamId;

/**
 * A customer of the peak load experiment.
 *
 * @param id the identifier
 * @param weight the guaranteed share, relative to the weights of the other customers
 * @param peakLoad the demand at peak load, as a multiple of the capacity of all slots
 */
record PeakLoadCustomer(TeamId id, double weight, double peakLoad) {
  /** Returns the share of all slots that is guaranteed to this customer, between 0 and 1. */
  double guaranteed(List<PeakLoadCustomer> customers) {
    return weight / customers.stream().mapToDouble(PeakLoadCustomer::weight).sum();
  }
}

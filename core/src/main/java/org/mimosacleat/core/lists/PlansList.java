package org.mimosacleat.core.lists;

import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.mimosacleat.core.id.TeamId;

/**
 * The plans of all customers.
 *
 * @param customers the entry of each customer
 */
public record PlansList(Map<TeamId, CustomerPlan> customers) {
  /** The empty list before the first edit. */
  public static final PlansList EMPTY = new PlansList(Map.of());

  /** Copies the map. */
  public PlansList {
    customers = Collections.unmodifiableMap(new TreeMap<>(customers));
  }

  /** Returns the entry of a customer, if it is listed. */
  public Optional<CustomerPlan> of(TeamId customer) {
    return Optional.ofNullable(customers.get(customer));
  }
}

package org.mimosacleat.core.lists;

import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.mimosacleat.core.id.CustomerId;

/**
 * Which customer has which plan.
 *
 * @param customers the entry of each customer
 */
public record PlansList(Map<CustomerId, CustomerPlan> customers) {
  /** The list before the first edit. */
  public static final PlansList EMPTY = new PlansList(Map.of());

  /** Copies the map. */
  public PlansList {
    customers = Collections.unmodifiableMap(new TreeMap<>(customers));
  }

  /** Returns the entry of a customer. */
  public Optional<CustomerPlan> of(CustomerId customer) {
    return Optional.ofNullable(customers.get(customer));
  }
}

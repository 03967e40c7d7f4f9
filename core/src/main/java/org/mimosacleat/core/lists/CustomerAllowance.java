package org.mimosacleat.core.lists;

import org.mimosacleat.core.check.Checks;

/**
 * The allowance of one customer, resolved from both lists.
 *
 * @param customer the customer's entry in the list of plans
 * @param allowance the allowance of its plan
 * @param guaranteedShare the customer's own guaranteed share in percent if set, otherwise the
 *     plan's
 */
public record CustomerAllowance(
    CustomerPlan customer, PlanAllowance allowance, double guaranteedShare) {
  /** Validates the components. */
  public CustomerAllowance {
    Checks.notNull("customer", customer);
    Checks.notNull("allowance", allowance);
    Checks.between("guaranteed share", guaranteedShare, 0, 100);
  }
}

package org.mimosacleat.core.lists;

import org.mimosacleat.core.check.Checks;

/**
 * What one customer may use, resolved from both lists.
 *
 * @param customer the customer's entry in the list of plans
 * @param allowance the allowance of its plan
 * @param guaranteedShare its guaranteed share in percent, its own or the plan's
 */
public record CustomerAllowance(
    CustomerPlan customer, PlanAllowance allowance, double guaranteedShare) {
  /** Checks the parts. */
  public CustomerAllowance {
    Checks.notNull("customer", customer);
    Checks.notNull("allowance", allowance);
    Checks.between("guaranteed share", guaranteedShare, 0, 100);
  }
}

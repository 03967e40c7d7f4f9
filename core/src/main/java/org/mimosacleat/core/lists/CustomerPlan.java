package org.mimosacleat.core.lists;

import java.util.Optional;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.CustomerId;
import org.mimosacleat.core.id.PlanName;
import org.mimosacleat.core.settings.Secret;

/**
 * What the list of plans says of one customer.
 *
 * @param customer the customer
 * @param plan its plan
 * @param guaranteedShare a guaranteed share of its own in percent, in place of the plan's
 * @param scramVerifier the SCRAM-SHA-256 verifier of its password, in PostgreSQL's notation
 */
public record CustomerPlan(
    CustomerId customer,
    PlanName plan,
    Optional<Double> guaranteedShare,
    Optional<Secret> scramVerifier) {
  /** Checks the parts. */
  public CustomerPlan {
    Checks.notNull("customer", customer);
    Checks.notNull("plan", plan);
    Checks.notNull("guaranteed share", guaranteedShare);
    Checks.notNull("verifier", scramVerifier);
  }
}

package org.mimosacleat.core.lists;

import java.util.Optional;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.PlanName;
import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.core.settings.Secret;

/**
 * The entry of one customer in the list of plans.
 *
 * @param customer the customer
 * @param plan its plan
 * @param guaranteedShare the customer's own guaranteed share in percent, which overrides the plan's
 * @param scramVerifier the SCRAM-SHA-256 verifier of its password, in PostgreSQL's format
 */
public record CustomerPlan(
    TeamId customer,
    PlanName plan,
    Optional<Double> guaranteedShare,
    Optional<Secret> scramVerifier) {
  /** Validates the components. */
  public CustomerPlan {
    Checks.notNull("customer", customer);
    Checks.notNull("plan", plan);
    Checks.notNull("guaranteed share", guaranteedShare);
    Checks.notNull("verifier", scramVerifier);
  }
}

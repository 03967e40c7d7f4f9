package org.mimosacleat.core.lists;

import java.time.Duration;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.PlanName;

/**
 * The allowance of each customer of one plan across the whole fleet.
 *
 * @param plan the plan
 * @param connections maximum number of endpoint connections in use at the same time
 * @param concurrentStatements maximum number of statements that run or wait at the same time
 * @param statementsPerSecond maximum number of statements started per second
 * @param guaranteedShare guaranteed share of each endpoint's slots in percent, which a customer
 *     gets when all customers have requests
 * @param vmShare maximum share of the VMs' processor time in percent
 * @param priority 1 to 9; under overload, requests with a lower priority are rejected first
 * @param requestDeadline maximum duration of a request, including the time it waits
 */
public record PlanAllowance(
    PlanName plan,
    long connections,
    long concurrentStatements,
    long statementsPerSecond,
    double guaranteedShare,
    double vmShare,
    int priority,
    Duration requestDeadline) {
  /** Validates the components. */
  public PlanAllowance {
    Checks.notNull("plan", plan);
    Checks.positive("connections", connections);
    Checks.positive("concurrent statements", concurrentStatements);
    Checks.positive("statements per second", statementsPerSecond);
    Checks.between("guaranteed share", guaranteedShare, 0, 100);
    Checks.between("share of VMs", vmShare, 0, 100);
    Checks.between("priority", priority, 1, 9);
    Checks.notNull("request deadline", requestDeadline);
  }
}

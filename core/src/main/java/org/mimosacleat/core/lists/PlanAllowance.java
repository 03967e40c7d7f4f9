package org.mimosacleat.core.lists;

import java.time.Duration;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.PlanName;

/**
 * What each customer of one plan may use over the whole fleet.
 *
 * @param plan the plan
 * @param connections endpoint connections in use at once
 * @param concurrentStatements statements that run or wait at once
 * @param statementsPerSecond statements that start in a second
 * @param guaranteedShare the share of each endpoint's slots that a customer gets when all ask, in
 *     percent
 * @param vmShare the share of the VMs' processor time that a customer may use, in percent
 * @param priority 1 to 9; when load is shed, work of a lower priority is refused first
 * @param requestDeadline the longest time that a request may take, waiting included
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
  /** Checks the parts. */
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

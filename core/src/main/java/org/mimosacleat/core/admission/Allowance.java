package org.mimosacleat.core.admission;

import org.mimosacleat.core.check.Checks;

/**
 * The limits of one customer over the whole fleet, as set in its plan.
 *
 * @param weight the guaranteed share of each endpoint's slots relative to the weights of other
 *     customers; greater than 0
 * @param concurrentStatements statements that may run or wait at the same time
 * @param statementsPerSecond statements that may start in a second
 * @param connections endpoint connections that may be in use at the same time
 */
public record Allowance(
    double weight, long concurrentStatements, long statementsPerSecond, long connections) {
  private static final double MIN_WEIGHT = 1e-6;
  private static final double MAX_WEIGHT = 1e6;

  /** Checks the values. */
  public Allowance {
    Checks.between("weight", weight, MIN_WEIGHT, MAX_WEIGHT);
    Checks.notNegative("concurrent statements", concurrentStatements);
    Checks.notNegative("statements per second", statementsPerSecond);
    Checks.notNegative("connections", connections);
  }

  /** Returns the limit of a resource, in units of that resource. */
  public long ceiling(Resource resource) {
    return switch (resource) {
      case CONCURRENT_STATEMENTS -> concurrentStatements;
      case STATEMENTS_PER_SECOND -> statementsPerSecond;
      case CONNECTIONS -> connections;
    };
  }
}

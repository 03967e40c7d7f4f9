package org.mimosacleat.core.admission;

import org.mimosacleat.core.check.Checks;

/**
 * What the plan of one customer allows over the whole fleet.
 *
 * @param weight the guaranteed share of each endpoint's slots in relation to other customers'
 *     weights, over 0
 * @param concurrentStatements statements that may run or wait at the same time
 * @param statementsPerSecond statements that may start in a second
 * @param connections endpoint connections that may be in use at the same time
 */
public record Allowance(
    double weight, long concurrentStatements, long statementsPerSecond, long connections) {
  private static final double MINIMUM_WEIGHT = 1e-6;
  private static final double MAXIMUM_WEIGHT = 1e6;

  /** Checks the values. */
  public Allowance {
    Checks.between("weight", weight, MINIMUM_WEIGHT, MAXIMUM_WEIGHT);
    Checks.notNegative("concurrent statements", concurrentStatements);
    Checks.notNegative("statements per second", statementsPerSecond);
    Checks.notNegative("connections", connections);
  }

  /** Returns the ceiling of one resource, in its units. */
  public long ceiling(Resource resource) {
    return switch (resource) {
      case CONCURRENT_STATEMENTS -> concurrentStatements;
      case STATEMENTS_PER_SECOND -> statementsPerSecond;
      case CONNECTIONS -> connections;
    };
  }
}

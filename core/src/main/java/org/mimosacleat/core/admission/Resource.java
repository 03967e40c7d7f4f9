package org.mimosacleat.core.admission;

/** A resource that a plan limits, counted in whole units. */
public enum Resource {
  /** Statements that run or wait at the same time. */
  CONCURRENT_STATEMENTS,
  /** Statements started per second. */
  STATEMENTS_PER_SECOND,
  /** Endpoint connections in use at the same time. */
  CONNECTIONS
}

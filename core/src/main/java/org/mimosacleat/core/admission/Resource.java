package org.mimosacleat.core.admission;

/** What a plan limits. Each is counted in whole units. */
public enum Resource {
  /** Statements that run or wait at the same time. */
  CONCURRENT_STATEMENTS,
  /** Statements started in a second. */
  STATEMENTS_PER_SECOND,
  /** Endpoint connections in use at the same time. */
  CONNECTIONS
}

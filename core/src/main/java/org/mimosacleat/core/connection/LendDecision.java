package org.mimosacleat.core.connection;

/** The answer to a transaction that needs a connection. */
public sealed interface LendDecision {
  /**
   * The transaction owns the connection until it gives it back.
   *
   * @param connection the connection
   */
  record Lent(ConnectionId connection) implements LendDecision {}

  /** No connection is idle; ask again when one is opened or given back. */
  record Wait() implements LendDecision {}
}

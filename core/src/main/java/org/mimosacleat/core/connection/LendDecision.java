package org.mimosacleat.core.connection;

/** The result of a request to borrow a connection. */
public sealed interface LendDecision {
  /**
   * The transaction has exclusive use of the connection until it returns it.
   *
   * @param connection the borrowed connection
   */
  record Lent(ConnectionId connection) implements LendDecision {}

  /** No connection is idle; retry when one has been opened or returned. */
  record Wait() implements LendDecision {}
}

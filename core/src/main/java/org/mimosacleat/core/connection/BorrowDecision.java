package org.mimosacleat.core.connection;

/** The result of a request to borrow a connection. */
public sealed interface BorrowDecision {
  /**
   * The transaction has exclusive use of the connection until it returns it.
   *
   * @param connection the borrowed connection
   */
  record Borrowed(ConnectionId connection) implements BorrowDecision {}

  /** No connection is idle; retry when one has been opened or returned. */
  record Wait() implements BorrowDecision {}
}

package org.mimosacleat.core.connection;

/** What the endpoint last said about the transaction on a connection. */
public enum TransactionStatus {
  /** No transaction is open. */
  IDLE,
  /** A transaction is open. */
  IN_TRANSACTION,
  /** A transaction is open and has failed; it only waits to be rolled back. */
  FAILED
}

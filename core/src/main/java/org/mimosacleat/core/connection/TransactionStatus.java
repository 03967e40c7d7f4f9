package org.mimosacleat.core.connection;

/** The transaction status of a connection as last reported by the endpoint. */
public enum TransactionStatus {
  /** No transaction is open. */
  IDLE,
  /** A transaction is open. */
  IN_TRANSACTION,
  /** A transaction is open and has failed; it can only be rolled back. */
  FAILED
}

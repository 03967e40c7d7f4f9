package org.mimosacleat.core.statement;

/** The kind of a statement, as needed for routing. */
public enum StatementKind {
  /** Only reads; a replica may serve it, and rejects it if it writes after all. */
  READ,
  /** Writes, or may write. */
  WRITE,
  /** Opens a transaction that may write. */
  BEGIN,
  /** Opens a transaction that is declared read-only. */
  BEGIN_READ_ONLY,
  /** Commits the transaction. */
  COMMIT,
  /** Rolls the transaction back. */
  ROLLBACK,
  /** Changes a setting of the session. */
  SET,
  /** Needs a dedicated connection for longer than a transaction, so it is rejected. */
  SESSION_BOUND,
  /** Contains no statement. */
  EMPTY;

  /** Returns whether the statement may change data. */
  public boolean canWrite() {
    return this == WRITE || this == BEGIN || this == COMMIT;
  }
}

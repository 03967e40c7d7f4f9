package org.mimosacleat.core.statement;

/** What a statement does, as far as routing needs to know. */
public enum StatementKind {
  /** It reads only; a replica may serve it, and refuses it if it writes after all. */
  READ,
  /** It writes, or may write. */
  WRITE,
  /** It opens a transaction that may write. */
  BEGIN,
  /** It opens a transaction that is declared to read only. */
  BEGIN_READ_ONLY,
  /** It ends a transaction and keeps its work. */
  COMMIT,
  /** It ends a transaction and drops its work. */
  ROLLBACK,
  /** It changes a setting of the session. */
  SET,
  /** It needs a connection of its own for longer than a transaction, so it is refused. */
  SESSION_BOUND,
  /** It is empty. */
  EMPTY;

  /** Tells whether the statement may change data. */
  public boolean mayWrite() {
    return this == WRITE || this == BEGIN || this == COMMIT;
  }
}

package org.mimosacleat.core.connection;

/** What to do with a connection that its user returns. */
public sealed interface ReturnDecision {
  /** The connection can be borrowed again as it is. */
  record Reuse() implements ReturnDecision {}

  /** Reset the settings; the connection is available once the endpoint has confirmed the reset. */
  record Reset() implements ReturnDecision {}

  /**
   * Close the connection.
   *
   * @param reason the reason, for the log
   */
  record Close(String reason) implements ReturnDecision {}

  /** Returns the decision for a connection in this condition. */
  static ReturnDecision of(ConnectionUse use) {
    if (use.broken()) {
      return new Close("the connection is broken");
    }
    if (use.timedOut()) {
      return new Close("a request timed out or was cancelled");
    }
    if (use.answersOutstanding() > 0) {
      return new Close("an answer is outstanding");
    }
    if (use.status() != TransactionStatus.IDLE) {
      return new Close("a transaction is still open");
    }
    return use.settingsChanged() ? new Reset() : new Reuse();
  }
}

package org.mimosacleat.core.connection;

/** What happens to a connection that its user gives back. */
public sealed interface ReturnDecision {
  /** It may be lent again as it is. */
  record Reuse() implements ReturnDecision {}

  /** Its settings are to be reset first; it is lent again once the endpoint has confirmed that. */
  record Reset() implements ReturnDecision {}

  /**
   * It is to be closed.
   *
   * @param reason why, for the log
   */
  record Close(String reason) implements ReturnDecision {}

  /** Decides on a connection in this state. */
  static ReturnDecision of(ConnectionUse use) {
    if (use.broken()) {
      return new Close("it is broken");
    }
    if (use.timedOut()) {
      return new Close("a request on it was given up");
    }
    if (use.answersOutstanding() > 0) {
      return new Close("it has an answer outstanding");
    }
    if (use.status() != TransactionStatus.IDLE) {
      return new Close("a transaction is open on it");
    }
    return use.settingsChanged() ? new Reset() : new Reuse();
  }
}

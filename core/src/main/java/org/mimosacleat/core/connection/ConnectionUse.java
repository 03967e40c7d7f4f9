package org.mimosacleat.core.connection;

import org.mimosacleat.core.check.Checks;

/**
 * The condition of a connection at the time its user returns it.
 *
 * @param status the transaction status last reported by the endpoint
 * @param answersOutstanding the number of requests whose answers have not been read completely
 * @param timedOut whether a request on the connection timed out or was cancelled
 * @param broken whether reading or writing failed, or an answer violated the protocol
 * @param settingsChanged whether the session's settings differ from those of a new connection
 */
public record ConnectionUse(
    TransactionStatus status,
    int answersOutstanding,
    boolean timedOut,
    boolean broken,
    boolean settingsChanged) {
  /** Checks the values. */
  public ConnectionUse {
    Checks.notNull("transaction status", status);
    Checks.notNegative("outstanding answers", answersOutstanding);
  }
}

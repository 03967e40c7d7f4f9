package org.mimosacleat.core.connection;

import org.mimosacleat.core.check.Checks;

/**
 * What is known of a connection at the moment its user gives it back.
 *
 * @param status what the endpoint last said about the transaction
 * @param answersOutstanding requests sent whose whole answer has not been read
 * @param timedOut whether a request was given up or cancelled on it
 * @param broken whether reading or writing failed, or an answer did not follow the protocol
 * @param settingsChanged whether the session's settings differ from those of a new connection
 */
public record ConnectionUse(
    TransactionStatus status,
    int answersOutstanding,
    boolean timedOut,
    boolean broken,
    boolean settingsChanged) {
  /** Checks the parts. */
  public ConnectionUse {
    Checks.notNull("transaction status", status);
    Checks.notNegative("outstanding answers", answersOutstanding);
  }
}

package org.mimosacleat.core.error;

/**
 * All error kinds of the proxy. Each constant defines the SQLSTATE sent to the client, whether the
 * work ran, and whether the request may be retried.
 */
public enum ErrorKind {
  /** The client sent a frame or a value that violates the protocol. */
  PROTOCOL_VIOLATION("08P01", Outcome.NOT_RUN, RetryAdvice.NEVER),
  /** The user, the password or the peer key is wrong. */
  AUTHENTICATION_FAILED("28P01", Outcome.NOT_RUN, RetryAdvice.NEVER),
  /** A setting or a session hint has an invalid value. */
  INVALID_SETTING("22023", Outcome.NOT_RUN, RetryAdvice.NEVER),
  /** The statement needs a feature that pooled connections do not support. */
  NOT_SUPPORTED("0A000", Outcome.NOT_RUN, RetryAdvice.NEVER),
  /** The session has no prepared statement of this name. */
  UNKNOWN_STATEMENT("26000", Outcome.NOT_RUN, RetryAdvice.NEVER),
  /** The message exceeds the maximum size that the proxy accepts. */
  MESSAGE_TOO_LARGE("54000", Outcome.NOT_RUN, RetryAdvice.NEVER),
  /** The endpoint has not replayed the log position that the read requires. */
  REPLICA_BEHIND("57P03", Outcome.NOT_RUN, RetryAdvice.ANY),
  /** The endpoint is not the primary, or the transaction is read-only. */
  NOT_PRIMARY("25006", Outcome.NOT_RUN, RetryAdvice.ANY),
  /** The endpoint at the address is not the expected one. */
  WRONG_ENDPOINT("08004", Outcome.NOT_RUN, RetryAdvice.ANY),
  /** The endpoint has reached its connection limit. */
  TOO_MANY_CONNECTIONS("53300", Outcome.NOT_RUN, RetryAdvice.ANY),
  /** The proxy does not know a group for the requested database. */
  UNKNOWN_GROUP("3D000", Outcome.NOT_RUN, RetryAdvice.NEVER),
  /** The request exceeds the current allowance of the customer's plan. */
  OVER_ALLOWANCE("53300", Outcome.NOT_RUN, RetryAdvice.ANY),
  /** The request was rejected immediately because it could not be served before its deadline. */
  OVERLOADED("53400", Outcome.NOT_RUN, RetryAdvice.ANY),
  /** No endpoint or home could be reached; nothing was sent. */
  UNAVAILABLE("57P03", Outcome.NOT_RUN, RetryAdvice.ANY),
  /** The deadline passed before anything was sent. */
  DEADLINE_BEFORE_START("57014", Outcome.NOT_RUN, RetryAdvice.ANY),
  /** The proxy is shutting down and accepts no new work. */
  SHUTTING_DOWN("57P01", Outcome.NOT_RUN, RetryAdvice.ANY),
  /** The home no longer holds the lease of the group; nothing was sent. */
  NOT_HOME("57P03", Outcome.NOT_RUN, RetryAdvice.ANY),
  /** The connection of the transaction was lost, and the transaction was rolled back. */
  TRANSACTION_LOST("40001", Outcome.NOT_RUN, RetryAdvice.ANY),
  /** The deadline passed after the work was sent. */
  DEADLINE_AFTER_START("57014", Outcome.UNKNOWN, RetryAdvice.IDEMPOTENT_ONLY),
  /** The connection was lost after the work was sent. */
  CONNECTION_LOST("08007", Outcome.UNKNOWN, RetryAdvice.IDEMPOTENT_ONLY),
  /** The primary ran the write but was replaced before a replica confirmed the write. */
  NOT_CONFIRMED("40003", Outcome.UNKNOWN, RetryAdvice.IDEMPOTENT_ONLY),
  /** The work with this request id is still running, or its outcome is unknown. */
  REQUEST_IN_DOUBT("40003", Outcome.UNKNOWN, RetryAdvice.IDEMPOTENT_ONLY),
  /** The work ran, but its answer exceeds the maximum size that the proxy relays. */
  ANSWER_TOO_LARGE("54000", Outcome.RAN, RetryAdvice.NEVER),
  /** The endpoint ran the statement and reported an error. */
  STATEMENT_FAILED("58000", Outcome.UNKNOWN, RetryAdvice.IDEMPOTENT_ONLY),
  /** An internal error occurred in the proxy after the work was sent. */
  INTERNAL("XX000", Outcome.UNKNOWN, RetryAdvice.IDEMPOTENT_ONLY);

  private final String sqlState;
  private final Outcome outcome;
  private final RetryAdvice retryAdvice;

  ErrorKind(String sqlState, Outcome outcome, RetryAdvice retryAdvice) {
    this.sqlState = sqlState;
    this.outcome = outcome;
    this.retryAdvice = retryAdvice;
  }

  /** Returns the five-character SQLSTATE by which PostgreSQL drivers identify the error. */
  public String sqlState() {
    return sqlState;
  }

  /** Returns whether the work ran, as far as is known. */
  public Outcome outcome() {
    return outcome;
  }

  /** Returns whether the request may be retried. */
  public RetryAdvice retryAdvice() {
    return retryAdvice;
  }
}

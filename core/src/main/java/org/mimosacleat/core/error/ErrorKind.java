package org.mimosacleat.core.error;

/**
 * The closed list of error kinds. Each constant is one row of the table from a kind to the answer:
 * the SQLSTATE a caller sees, what is known of the work, and whether it may be sent again.
 */
public enum ErrorKind {
  /** A frame or a value of the caller does not follow the protocol. */
  PROTOCOL_VIOLATION("08P01", Outcome.NOT_RUN, RetryAdvice.NEVER),
  /** The user, the password or the peer key is wrong. */
  AUTHENTICATION_FAILED("28P01", Outcome.NOT_RUN, RetryAdvice.NEVER),
  /** A setting or a hint has a value that is not allowed. */
  INVALID_SETTING("22023", Outcome.NOT_RUN, RetryAdvice.NEVER),
  /** The statement needs what a pooled connection cannot give. */
  NOT_SUPPORTED("0A000", Outcome.NOT_RUN, RetryAdvice.NEVER),
  /** The session has no prepared statement of this name. */
  UNKNOWN_STATEMENT("26000", Outcome.NOT_RUN, RetryAdvice.NEVER),
  /** The message is larger than the proxy takes. */
  MESSAGE_TOO_LARGE("54000", Outcome.NOT_RUN, RetryAdvice.NEVER),
  /** The endpoint does not have the log position that the read asks for. */
  REPLICA_BEHIND("57P03", Outcome.NOT_RUN, RetryAdvice.ANY),
  /** The endpoint is not the primary, or the transaction may not write. */
  NOT_PRIMARY("25006", Outcome.NOT_RUN, RetryAdvice.ANY),
  /** Another endpoint than the expected one has the address. */
  WRONG_ENDPOINT("08004", Outcome.NOT_RUN, RetryAdvice.ANY),
  /** The endpoint takes no further connection. */
  TOO_MANY_CONNECTIONS("53300", Outcome.NOT_RUN, RetryAdvice.ANY),
  /** The database is not one that the proxy knows. */
  UNKNOWN_GROUP("3D000", Outcome.NOT_RUN, RetryAdvice.NEVER),
  /** The plan of the customer does not allow this now. */
  OVER_ALLOWANCE("53300", Outcome.NOT_RUN, RetryAdvice.ANY),
  /** The request could not be served before its deadline, so it was refused at once. */
  OVERLOADED("53400", Outcome.NOT_RUN, RetryAdvice.ANY),
  /** No endpoint or home could be reached, and nothing was sent. */
  UNAVAILABLE("57P03", Outcome.NOT_RUN, RetryAdvice.ANY),
  /** The deadline passed before anything was sent. */
  DEADLINE_BEFORE_START("57014", Outcome.NOT_RUN, RetryAdvice.ANY),
  /** The proxy is stopping and takes no new work. */
  SHUTTING_DOWN("57P01", Outcome.NOT_RUN, RetryAdvice.ANY),
  /** The home does not hold the lease of the group any more; nothing was sent. */
  NOT_HOME("57P03", Outcome.NOT_RUN, RetryAdvice.ANY),
  /** The transaction was lost with its connection and was rolled back. */
  TRANSACTION_LOST("40001", Outcome.NOT_RUN, RetryAdvice.ANY),
  /** The deadline passed after the work was sent. */
  DEADLINE_AFTER_START("57014", Outcome.UNKNOWN, RetryAdvice.IDEMPOTENT_ONLY),
  /** The connection was lost after the work was sent. */
  CONNECTION_LOST("08007", Outcome.UNKNOWN, RetryAdvice.IDEMPOTENT_ONLY),
  /** The primary ran the write, but it was replaced before a replica confirmed it. */
  NOT_CONFIRMED("40003", Outcome.UNKNOWN, RetryAdvice.IDEMPOTENT_ONLY),
  /** The work with this request id is running, or its outcome is not known yet. */
  REQUEST_IN_DOUBT("40003", Outcome.UNKNOWN, RetryAdvice.IDEMPOTENT_ONLY),
  /** The work ran, but its answer is larger than a proxy relays. */
  ANSWER_TOO_LARGE("54000", Outcome.RAN, RetryAdvice.NEVER),
  /** The endpoint ran the statement, which failed. */
  STATEMENT_FAILED("58000", Outcome.UNKNOWN, RetryAdvice.IDEMPOTENT_ONLY),
  /** A defect of the proxy after the work was sent. */
  INTERNAL("XX000", Outcome.UNKNOWN, RetryAdvice.IDEMPOTENT_ONLY);

  private final String sqlState;
  private final Outcome outcome;
  private final RetryAdvice retryAdvice;

  ErrorKind(String sqlState, Outcome outcome, RetryAdvice retryAdvice) {
    this.sqlState = sqlState;
    this.outcome = outcome;
    this.retryAdvice = retryAdvice;
  }

  /** Returns the five characters that PostgreSQL drivers know the error by. */
  public String sqlState() {
    return sqlState;
  }

  /** Returns what is known of the work. */
  public Outcome outcome() {
    return outcome;
  }

  /** Returns whether the request may be sent again. */
  public RetryAdvice retryAdvice() {
    return retryAdvice;
  }
}

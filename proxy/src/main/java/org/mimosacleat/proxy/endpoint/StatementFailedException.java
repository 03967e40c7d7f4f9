package org.mimosacleat.proxy.endpoint;

import java.io.IOException;

/** Thrown if an endpoint answers a statement that the proxy itself issued with an error. */
public final class StatementFailedException extends IOException {
  private static final long serialVersionUID = 1L;

  private final String sqlState;

  StatementFailedException(String sqlState, String message) {
    super("endpoint: statement failed with SQLSTATE " + sqlState + ": " + message);
    this.sqlState = sqlState;
  }

  /** Returns the SQLSTATE of the error. */
  public String sqlState() {
    return sqlState;
  }
}

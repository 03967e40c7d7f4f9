package org.mimosacleat.proxy.endpoint;

import java.io.IOException;

/** Reports that an endpoint answered a statement of the proxy's own with an error. */
public final class StatementRefusedException extends IOException {
  private static final long serialVersionUID = 1L;

  private final String sqlState;

  StatementRefusedException(String sqlState, String message) {
    super("endpoint: " + sqlState + " " + message);
    this.sqlState = sqlState;
  }

  /** Returns the SQLSTATE of the error. */
  public String sqlState() {
    return sqlState;
  }
}

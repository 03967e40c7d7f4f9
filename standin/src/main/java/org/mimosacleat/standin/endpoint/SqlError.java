package org.mimosacleat.standin.endpoint;

/** Reports an error of a statement to the client by its SQLSTATE. */
final class SqlError extends Exception {
  static final String SYNTAX_ERROR = "42601";
  static final String UNDEFINED_TABLE = "42P01";
  static final String UNDEFINED_COLUMN = "42703";
  static final String UNDEFINED_FUNCTION = "42883";
  static final String UNDEFINED_OBJECT = "42704";
  static final String DUPLICATE_TABLE = "42P07";
  static final String DUPLICATE_KEY = "23505";
  static final String NOT_NULL_VIOLATION = "23502";
  static final String READ_ONLY = "25006";
  static final String TRANSACTION_FAILED = "25P02";
  static final String DEADLOCK = "40P01";
  static final String CANCELLED = "57014";
  static final String ADMIN_SHUTDOWN = "57P01";
  static final String INVALID_VALUE = "22023";
  static final String INVALID_TEXT = "22P02";
  static final String WRONG_STATE = "55000";
  static final String UNDEFINED_STATEMENT = "26000";
  static final String UNDEFINED_PORTAL = "34000";
  static final String PROTOCOL_VIOLATION = "08P01";

  private static final long serialVersionUID = 1L;

  private final String sqlState;

  SqlError(String sqlState, String message) {
    super(message);
    this.sqlState = sqlState;
  }

  String sqlState() {
    return sqlState;
  }
}

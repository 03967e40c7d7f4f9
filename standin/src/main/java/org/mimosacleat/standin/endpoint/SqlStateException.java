package org.mimosacleat.standin.endpoint;

/** An error of a statement that is reported to the client with its SQLSTATE. */
final class SqlStateException extends Exception {
  static final String SYNTAX_ERROR = "42601";
  static final String UNDEFINED_TABLE = "42P01";
  static final String UNDEFINED_COLUMN = "42703";
  static final String UNDEFINED_FUNCTION = "42883";
  static final String UNDEFINED_OBJECT = "42704";
  static final String DUPLICATE_TABLE = "42P07";
  static final String UNIQUE_VIOLATION = "23505";
  static final String NOT_NULL_VIOLATION = "23502";
  static final String READ_ONLY_TRANSACTION = "25006";
  static final String IN_FAILED_TRANSACTION = "25P02";
  static final String DEADLOCK_DETECTED = "40P01";
  static final String QUERY_CANCELED = "57014";
  static final String ADMIN_SHUTDOWN = "57P01";
  static final String INVALID_PARAMETER_VALUE = "22023";
  static final String INVALID_TEXT_REPRESENTATION = "22P02";
  static final String NOT_IN_PREREQUISITE_STATE = "55000";
  static final String INVALID_STATEMENT_NAME = "26000";
  static final String INVALID_CURSOR_NAME = "34000";
  static final String PROTOCOL_VIOLATION = "08P01";

  private static final long serialVersionUID = 1L;

  private final String sqlState;

  SqlStateException(String sqlState, String message) {
    super(message);
    this.sqlState = sqlState;
  }

  String sqlState() {
    return sqlState;
  }
}

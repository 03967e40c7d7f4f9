package org.mimosacleat.serving.statement;

/** The decoded content of a statement. */
public sealed interface StatementBody {
  /**
   * Opens a transaction.
   *
   * @param readOnly whether the client declared that it writes nothing
   */
  record Begin(boolean readOnly) implements StatementBody {}

  /** Commits the open transaction. */
  record Commit() implements StatementBody {}

  /** Rolls back the open transaction. */
  record Rollback() implements StatementBody {}

  /** Reads data. */
  record Read() implements StatementBody {}

  /** Writes data. */
  record Write() implements StatementBody {}

  /**
   * Sets a session value.
   *
   * @param name the value's name
   * @param value the value
   */
  record SetValue(String name, String value) implements StatementBody {}

  /**
   * Prepares a statement under a name for later execution.
   *
   * @param name the client's name for it
   * @param shape the prepared statement
   */
  record Prepare(String name, PreparedShape shape) implements StatementBody {}

  /**
   * Runs a prepared statement.
   *
   * @param name the client's name for it
   * @param arguments the arguments, which are the rest of the text, unchanged
   */
  record Execute(String name, String arguments) implements StatementBody {}

  /**
   * Deallocates a prepared statement.
   *
   * @param name the client's name for it
   */
  record Deallocate(String name) implements StatementBody {}

  /**
   * A text that could not be decoded as any other statement.
   *
   * @param reason why it could not be decoded, with the offending value
   */
  record Malformed(String reason) implements StatementBody {}
}

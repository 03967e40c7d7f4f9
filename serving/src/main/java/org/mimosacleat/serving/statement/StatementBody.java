package org.mimosacleat.serving.statement;

/** What a statement asks for. */
public sealed interface StatementBody {
  /**
   * Opens a transaction.
   *
   * @param readOnly whether it promises to write nothing
   */
  record Begin(boolean readOnly) implements StatementBody {}

  /** Commits the open transaction. */
  record Commit() implements StatementBody {}

  /** Rolls the open transaction back. */
  record Rollback() implements StatementBody {}

  /** Reads data. */
  record Read() implements StatementBody {}

  /** Writes data. */
  record Write() implements StatementBody {}

  /**
   * Sets a value of the session.
   *
   * @param name the value's name
   * @param value the value
   */
  record SetValue(String name, String value) implements StatementBody {}

  /**
   * Gives a name to a statement that is run later.
   *
   * @param name the client's name for it
   * @param shape what the name stands for
   */
  record Prepare(String name, PreparedShape shape) implements StatementBody {}

  /**
   * Runs a prepared statement.
   *
   * @param name the client's name for it
   * @param arguments the rest of the text, unchanged
   */
  record Execute(String name, String arguments) implements StatementBody {}

  /**
   * Forgets a prepared statement.
   *
   * @param name the client's name for it
   */
  record Deallocate(String name) implements StatementBody {}

  /**
   * A text that is none of the above.
   *
   * @param reason what is wrong with it, naming the value
   */
  record Malformed(String reason) implements StatementBody {}
}

package org.mimosacleat.standin.endpoint;

import java.util.List;

/** One parsed statement. */
sealed interface Command {
  /** CREATE TABLE; the primary key is a column name or null. */
  record CreateTable(String table, List<Column> columns, String primaryKey, boolean ifNotExists)
      implements Command {}

  /** DROP TABLE. */
  record DropTable(String table, boolean ifExists) implements Command {}

  /** INSERT; without columns, all of the table. */
  record Insert(String table, List<String> columns, List<List<Operand>> rows, boolean skipConflicts)
      implements Command {}

  /** SELECT from a table; without columns, all of the table. */
  record Select(
      String table,
      List<String> columns,
      boolean count,
      List<Condition> conditions,
      boolean forUpdate)
      implements Command {}

  /** SELECT without a table. */
  record SelectValues(List<SelectedValue> values) implements Command {}

  /** UPDATE. */
  record Update(String table, List<Assignment> assignments, List<Condition> conditions)
      implements Command {}

  /** DELETE. */
  record Delete(String table, List<Condition> conditions) implements Command {}

  /** BEGIN or START TRANSACTION. */
  record Begin(boolean readOnly) implements Command {}

  /** COMMIT. */
  record Commit() implements Command {}

  /** ROLLBACK. */
  record Rollback() implements Command {}

  /** SET for the session. */
  record SetSetting(String name, String value) implements Command {}

  /** SHOW. */
  record ShowSetting(String name) implements Command {}

  /** RESET of one setting, or of all where the name is null. */
  record ResetSetting(String name) implements Command {}

  /** DISCARD ALL. */
  record DiscardAll() implements Command {}

  /** ALTER SYSTEM SET. */
  record AlterSystem(String name, String value) implements Command {}

  /** The combined question for the state. */
  record Status() implements Command {}

  /** The question for the timeline. */
  record Timeline() implements Command {}

  /** No statement at all. */
  record Empty() implements Command {}
}

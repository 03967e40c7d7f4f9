package org.mimosacleat.standin.endpoint;

import java.util.List;
import org.mimosacleat.wire.postgres.admin.EndpointStatements;

/** A parsed statement. */
sealed interface Command {
  /** CREATE TABLE; {@code primaryKey} is a column name, or null for a table without one. */
  record CreateTable(String table, List<Column> columns, String primaryKey, boolean ifNotExists)
      implements Command {}

  /** DROP TABLE. */
  record DropTable(String table, boolean ifExists) implements Command {}

  /** INSERT; an empty column list means all columns of the table. */
  record Insert(String table, List<String> columns, List<List<Operand>> rows, boolean skipConflicts)
      implements Command {}

  /** SELECT from a table; an empty column list means all columns of the table. */
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

  /** SET of a session setting. */
  record SetSetting(String name, String value) implements Command {}

  /** SHOW. */
  record ShowSetting(String name) implements Command {}

  /** RESET of one setting, or of all settings if the name is null. */
  record ResetSetting(String name) implements Command {}

  /** DISCARD ALL. */
  record DiscardAll() implements Command {}

  /** ALTER SYSTEM SET. */
  record AlterSystem(String name, String value) implements Command {}

  /** The query {@link EndpointStatements#STATUS} for the state of the instance. */
  record Status() implements Command {}

  /** The query {@link EndpointStatements#TIMELINE} for the timeline of the instance. */
  record Timeline() implements Command {}

  /** An empty query. */
  record Empty() implements Command {}
}

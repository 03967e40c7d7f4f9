package org.mimosacleat.standin.endpoint;

import java.util.List;

/**
 * The answer to one statement.
 *
 * @param columns the columns; empty for a statement without rows
 * @param rows the rows; a null value is SQL's null
 * @param tag the tag of the command, for example {@code INSERT 0 1}; empty for an empty query
 */
record QueryResult(List<Column> columns, List<List<String>> rows, String tag) {
  static QueryResult done(String tag) {
    return new QueryResult(List.of(), List.of(), tag);
  }

  static QueryResult of(List<Column> columns, List<List<String>> rows) {
    return new QueryResult(columns, rows, "SELECT " + rows.size());
  }

  boolean returnsRows() {
    return !columns.isEmpty();
  }
}

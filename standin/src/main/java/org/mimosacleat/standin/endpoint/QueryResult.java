package org.mimosacleat.standin.endpoint;

import java.util.List;

/**
 * The result of one statement.
 *
 * @param columns the columns; empty for a statement without rows
 * @param rows the rows; a null value stands for SQL NULL
 * @param tag the command tag, for example {@code INSERT 0 1}; empty for an empty query
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

package org.mimosacleat.proxy.home;

import org.mimosacleat.core.idempotency.RequestRecordStatement;

/** Inserts values as quoted literals into statements that the proxy itself issues. */
final class SqlLiterals {
  private SqlLiterals() {}

  /** Returns the SQL with each numbered parameter replaced by its value as a quoted literal. */
  static String fill(RequestRecordStatement statement, String... values) {
    if (values.length != statement.parameters()) {
      throw new IllegalArgumentException(
          statement + " takes " + statement.parameters() + " values, but got " + values.length);
    }
    StringBuilder sql = new StringBuilder();
    String text = statement.sql();
    for (int index = 0; index < text.length(); index++) {
      char character = text.charAt(index);
      if (character == '$') {
        index++;
        sql.append(quoted(values[text.charAt(index) - '1']));
      } else {
        sql.append(character);
      }
    }
    return sql.toString();
  }

  private static String quoted(String value) {
    return "'" + value.replace("'", "''") + "'";
  }
}

package org.mimosacleat.proxy.home;

import org.mimosacleat.core.idempotency.RequestRecordStatement;

/** Puts values into statements of the proxy's own as quoted literals. */
final class SqlLiterals {
  private SqlLiterals() {}

  /** Returns the statement with each numbered parameter replaced. */
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

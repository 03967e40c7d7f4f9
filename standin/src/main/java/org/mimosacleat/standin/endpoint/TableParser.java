package org.mimosacleat.standin.endpoint;

import java.util.ArrayList;
import java.util.List;

/** Parses CREATE TABLE and DROP TABLE. */
final class TableParser {
  private TableParser() {}

  static Command parseCreate(TokenCursor cursor) throws SqlStateException {
    cursor.expectWord("create");
    cursor.expectWord("table");
    final boolean ifNotExists = cursor.acceptWords("if", "not", "exists");
    final String table = cursor.expectName();
    List<Column> columns = new ArrayList<>();
    String primaryKey = null;
    cursor.expectSymbol("(");
    do {
      Column column = parseColumn(cursor);
      columns.add(column);
      primaryKey = parseConstraints(cursor) ? column.name() : primaryKey;
    } while (cursor.acceptSymbol(","));
    cursor.expectSymbol(")");
    return new Command.CreateTable(table, columns, primaryKey, ifNotExists);
  }

  static Command parseDrop(TokenCursor cursor) throws SqlStateException {
    cursor.expectWord("drop");
    cursor.expectWord("table");
    boolean ifExists = cursor.acceptWords("if", "exists");
    return new Command.DropTable(cursor.expectName(), ifExists);
  }

  private static Column parseColumn(TokenCursor cursor) throws SqlStateException {
    String name = cursor.expectName();
    return new Column(name, ColumnType.forName(cursor.expectName()));
  }

  private static boolean parseConstraints(TokenCursor cursor) throws SqlStateException {
    cursor.acceptWords("not", "null");
    boolean primaryKey = cursor.acceptWords("primary", "key");
    cursor.acceptWords("not", "null");
    return primaryKey;
  }
}

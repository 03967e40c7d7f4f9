package org.mimosacleat.standin.endpoint;

import java.util.ArrayList;
import java.util.List;

/** Parses INSERT, UPDATE and DELETE. */
final class WriteParser {
  private WriteParser() {}

  static Command parseInsert(TokenCursor cursor) throws SqlStateException {
    cursor.expectWord("insert");
    cursor.expectWord("into");
    String table = cursor.expectName();
    List<String> columns = parseColumns(cursor);
    cursor.expectWord("values");
    List<List<Operand>> rows = new ArrayList<>();
    do {
      rows.add(parseRow(cursor));
    } while (cursor.acceptSymbol(","));
    return new Command.Insert(table, columns, rows, parseConflict(cursor));
  }

  static Command parseUpdate(TokenCursor cursor) throws SqlStateException {
    cursor.expectWord("update");
    String table = cursor.expectName();
    cursor.expectWord("set");
    List<Assignment> assignments = new ArrayList<>();
    do {
      String column = cursor.expectName();
      cursor.expectSymbol("=");
      assignments.add(new Assignment(column, OperandParser.parse(cursor)));
    } while (cursor.acceptSymbol(","));
    return new Command.Update(table, assignments, OperandParser.parseConditions(cursor));
  }

  static Command parseDelete(TokenCursor cursor) throws SqlStateException {
    cursor.expectWord("delete");
    cursor.expectWord("from");
    String table = cursor.expectName();
    return new Command.Delete(table, OperandParser.parseConditions(cursor));
  }

  private static List<String> parseColumns(TokenCursor cursor) throws SqlStateException {
    List<String> columns = new ArrayList<>();
    if (!cursor.acceptSymbol("(")) {
      return columns;
    }
    do {
      columns.add(cursor.expectName());
    } while (cursor.acceptSymbol(","));
    cursor.expectSymbol(")");
    return columns;
  }

  private static List<Operand> parseRow(TokenCursor cursor) throws SqlStateException {
    cursor.expectSymbol("(");
    List<Operand> values = new ArrayList<>();
    do {
      values.add(OperandParser.parse(cursor));
    } while (cursor.acceptSymbol(","));
    cursor.expectSymbol(")");
    return values;
  }

  private static boolean parseConflict(TokenCursor cursor) throws SqlStateException {
    if (!cursor.acceptWords("on", "conflict")) {
      return false;
    }
    parseColumns(cursor);
    cursor.expectWord("do");
    cursor.expectWord("nothing");
    return true;
  }
}

package org.mimosacleat.standin.endpoint;

import java.util.ArrayList;
import java.util.List;

/** Parses SELECT statements. */
final class QueryParser {
  private static final String UNNAMED_COLUMN = "?column?";

  private QueryParser() {}

  static Command parseSelect(TokenCursor cursor) throws SqlStateException {
    cursor.expectWord("select");
    if (cursor.acceptSymbol("*")) {
      return parseFrom(List.of(), false, cursor);
    }
    if (cursor.acceptWords("count")) {
      cursor.expectSymbol("(");
      cursor.expectSymbol("*");
      cursor.expectSymbol(")");
      return parseFrom(List.of(), true, cursor);
    }
    return parseItems(cursor);
  }

  private static Command parseItems(TokenCursor cursor) throws SqlStateException {
    List<SelectedValue> values = new ArrayList<>();
    List<String> columns = new ArrayList<>();
    do {
      parseItem(cursor, values, columns);
    } while (cursor.acceptSymbol(","));
    if (columns.isEmpty()) {
      return new Command.SelectValues(values);
    }
    if (!values.isEmpty()) {
      throw cursor.unexpectedToken();
    }
    return parseFrom(columns, false, cursor);
  }

  private static void parseItem(
      TokenCursor cursor, List<SelectedValue> values, List<String> columns)
      throws SqlStateException {
    if (cursor.peek().kind() == TokenKind.WORD && !startsValue(cursor)) {
      columns.add(cursor.expectName());
      return;
    }
    Operand value = OperandParser.parse(cursor);
    String label = value instanceof Operand.FunctionCall call ? call.function() : UNNAMED_COLUMN;
    boolean named = cursor.acceptWords("as") || cursor.peek().kind() == TokenKind.WORD;
    values.add(new SelectedValue(named ? cursor.expectName() : label, value));
  }

  private static boolean startsValue(TokenCursor cursor) {
    String word = cursor.peek().text();
    return cursor.followedBySymbol("(")
        || word.equals("null")
        || word.equals("true")
        || word.equals("false");
  }

  private static Command parseFrom(List<String> columns, boolean count, TokenCursor cursor)
      throws SqlStateException {
    cursor.expectWord("from");
    String table = cursor.expectName();
    List<Condition> conditions = OperandParser.parseConditions(cursor);
    boolean forUpdate = cursor.acceptWords("for", "update");
    return new Command.Select(table, columns, count, conditions, forUpdate);
  }
}

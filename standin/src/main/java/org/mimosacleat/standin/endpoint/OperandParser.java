package org.mimosacleat.standin.endpoint;

import java.util.ArrayList;
import java.util.List;

/** Parses value expressions and the conditions of WHERE. */
final class OperandParser {
  private OperandParser() {}

  static Operand parse(TokenCursor cursor) throws SqlStateException {
    Operand operand = parsePlain(cursor);
    while (cursor.acceptSymbol("::")) {
      cursor.expectName();
    }
    return operand;
  }

  /** Parses an optional WHERE clause; returns no conditions if there is none. */
  static List<Condition> parseConditions(TokenCursor cursor) throws SqlStateException {
    List<Condition> conditions = new ArrayList<>();
    if (!cursor.acceptWords("where")) {
      return conditions;
    }
    do {
      String column = cursor.expectName();
      cursor.expectSymbol("=");
      conditions.add(new Condition(column, parse(cursor)));
    } while (cursor.acceptWords("and"));
    return conditions;
  }

  private static Operand parsePlain(TokenCursor cursor) throws SqlStateException {
    boolean negative = cursor.acceptSymbol("-");
    Token token = cursor.peek();
    return switch (token.kind()) {
      case STRING -> new Operand.Literal(cursor.next().text(), ColumnType.TEXT);
      case NUMBER -> parseNumber(cursor, negative);
      case PARAMETER -> parseParameter(cursor);
      case WORD -> parseWord(cursor);
      case SYMBOL, END -> throw cursor.unexpectedToken();
    };
  }

  private static Operand parseNumber(TokenCursor cursor, boolean negative) {
    String text = cursor.next().text();
    ColumnType type = text.indexOf('.') < 0 ? ColumnType.INTEGER : ColumnType.TEXT;
    return new Operand.Literal(negative ? "-" + text : text, type);
  }

  private static Operand parseParameter(TokenCursor cursor) throws SqlStateException {
    try {
      return new Operand.Parameter(Integer.parseInt(cursor.peek().text()));
    } catch (NumberFormatException notNumber) {
      throw cursor.unexpectedToken();
    } finally {
      cursor.next();
    }
  }

  private static Operand parseWord(TokenCursor cursor) throws SqlStateException {
    String word = cursor.expectQualifiedName();
    if (cursor.acceptSymbol("(")) {
      return new Operand.FunctionCall(word, parseArguments(cursor));
    }
    return switch (word) {
      case "null" -> new Operand.Literal(null, ColumnType.TEXT);
      case "true" -> new Operand.Literal("t", ColumnType.TEXT);
      case "false" -> new Operand.Literal("f", ColumnType.TEXT);
      default -> parseColumnSum(word, cursor);
    };
  }

  private static Operand parseColumnSum(String column, TokenCursor cursor)
      throws SqlStateException {
    boolean negative = cursor.acceptSymbol("-");
    if (!negative && !cursor.acceptSymbol("+")) {
      throw new SqlStateException(
          SqlStateException.SYNTAX_ERROR, "syntax error at or near \"" + column + "\"");
    }
    return new Operand.ColumnSum(column, parse(cursor), negative);
  }

  private static List<Operand> parseArguments(TokenCursor cursor) throws SqlStateException {
    List<Operand> arguments = new ArrayList<>();
    if (cursor.acceptSymbol(")")) {
      return arguments;
    }
    do {
      arguments.add(parse(cursor));
    } while (cursor.acceptSymbol(","));
    cursor.expectSymbol(")");
    return arguments;
  }
}

package org.mimosacleat.standin.endpoint;

import java.util.ArrayList;
import java.util.List;
import org.mimosacleat.wire.postgres.admin.EndpointStatements;

/** Parses the text of one or more statements. */
final class SqlParser {
  private static final List<Token> STATUS = tokenizeConstant(EndpointStatements.STATUS);
  private static final List<Token> TIMELINE = tokenizeConstant(EndpointStatements.TIMELINE);

  private SqlParser() {}

  /** Returns the statements in order, or one {@link Command.Empty} if there are none. */
  static List<Command> parse(String text) throws SqlStateException {
    List<Command> commands = new ArrayList<>();
    List<Token> statement = new ArrayList<>();
    for (Token token : Tokenizer.tokenize(text)) {
      if (token.is(TokenKind.SYMBOL, ";")) {
        addStatement(statement, commands);
        statement = new ArrayList<>();
      } else {
        statement.add(token);
      }
    }
    addStatement(statement, commands);
    return commands.isEmpty() ? List.of(new Command.Empty()) : commands;
  }

  private static void addStatement(List<Token> tokens, List<Command> commands)
      throws SqlStateException {
    if (!tokens.isEmpty()) {
      commands.add(parseStatement(tokens));
    }
  }

  private static Command parseStatement(List<Token> tokens) throws SqlStateException {
    if (tokens.equals(STATUS)) {
      return new Command.Status();
    }
    if (tokens.equals(TIMELINE)) {
      return new Command.Timeline();
    }
    TokenCursor cursor = new TokenCursor(tokens);
    Command command = parseCommand(cursor);
    cursor.expectEnd();
    return command;
  }

  private static Command parseCommand(TokenCursor cursor) throws SqlStateException {
    Token first = cursor.peek();
    if (first.kind() != TokenKind.WORD) {
      throw cursor.unexpectedToken();
    }
    return switch (first.text()) {
      case "select" -> QueryParser.parseSelect(cursor);
      case "insert" -> WriteParser.parseInsert(cursor);
      case "update" -> WriteParser.parseUpdate(cursor);
      case "delete" -> WriteParser.parseDelete(cursor);
      case "create" -> TableParser.parseCreate(cursor);
      case "drop" -> TableParser.parseDrop(cursor);
      case "begin", "start", "commit", "end", "rollback", "abort" ->
          TransactionParser.parse(cursor);
      case "set", "show", "reset", "discard", "alter" -> SettingParser.parse(cursor);
      default -> throw cursor.unexpectedToken();
    };
  }

  private static List<Token> tokenizeConstant(String text) {
    try {
      return Tokenizer.tokenize(text);
    } catch (SqlStateException malformed) {
      throw new IllegalArgumentException("statement constant is malformed: " + text, malformed);
    }
  }
}

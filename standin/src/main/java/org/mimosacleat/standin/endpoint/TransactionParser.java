package org.mimosacleat.standin.endpoint;

/** Parses the statements that begin and end transactions. */
final class TransactionParser {
  private TransactionParser() {}

  static Command parse(TokenCursor cursor) throws SqlStateException {
    String verb = cursor.expectName();
    return switch (verb) {
      case "begin" -> parseBegin(cursor);
      case "start" -> {
        cursor.expectWord("transaction");
        yield parseModes(cursor);
      }
      case "commit", "end" -> {
        skipNoiseWord(cursor);
        yield new Command.Commit();
      }
      default -> {
        skipNoiseWord(cursor);
        yield new Command.Rollback();
      }
    };
  }

  private static Command parseBegin(TokenCursor cursor) throws SqlStateException {
    skipNoiseWord(cursor);
    return parseModes(cursor);
  }

  private static void skipNoiseWord(TokenCursor cursor) {
    if (!cursor.acceptWords("transaction")) {
      cursor.acceptWords("work");
    }
  }

  private static Command parseModes(TokenCursor cursor) throws SqlStateException {
    boolean readOnly = false;
    while (cursor.peek().kind() != TokenKind.END) {
      if (cursor.acceptWords("read", "only")) {
        readOnly = true;
      } else if (cursor.acceptWords("read", "write")) {
        readOnly = false;
      } else if (!skipIsolation(cursor) && !cursor.acceptSymbol(",")) {
        throw cursor.unexpectedToken();
      }
    }
    return new Command.Begin(readOnly);
  }

  private static boolean skipIsolation(TokenCursor cursor) {
    if (!cursor.acceptWords("isolation", "level")) {
      return false;
    }
    return cursor.acceptWords("serializable")
        || cursor.acceptWords("repeatable", "read")
        || cursor.acceptWords("read", "committed")
        || cursor.acceptWords("read", "uncommitted");
  }
}

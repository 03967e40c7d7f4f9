package org.mimosacleat.standin.endpoint;

/** Parses SET, SHOW, RESET, DISCARD and ALTER SYSTEM. */
final class SettingParser {
  private static final String READ_ONLY = "default_transaction_read_only";

  private SettingParser() {}

  static Command parse(TokenCursor cursor) throws SqlStateException {
    String verb = cursor.expectName();
    return switch (verb) {
      case "set" -> parseSet(cursor);
      case "show" -> parseShow(cursor);
      case "reset" -> parseReset(cursor);
      case "discard" -> {
        cursor.expectWord("all");
        yield new Command.DiscardAll();
      }
      default -> parseAlter(cursor);
    };
  }

  private static Command parseSet(TokenCursor cursor) throws SqlStateException {
    if (cursor.acceptWords("session", "characteristics", "as", "transaction")) {
      return parseCharacteristics(cursor);
    }
    if (cursor.acceptWords("transaction")) {
      cursor.skipRest();
      return new Command.SetSetting("transaction", "");
    }
    if (!cursor.acceptWords("session")) {
      cursor.acceptWords("local");
    }
    String name = cursor.expectQualifiedName();
    return new Command.SetSetting(name, parseValue(cursor));
  }

  private static Command parseCharacteristics(TokenCursor cursor) {
    if (cursor.acceptWords("read", "only")) {
      return new Command.SetSetting(READ_ONLY, "on");
    }
    if (cursor.acceptWords("read", "write")) {
      return new Command.SetSetting(READ_ONLY, "off");
    }
    cursor.skipRest();
    return new Command.SetSetting("transaction", "");
  }

  private static Command parseShow(TokenCursor cursor) throws SqlStateException {
    if (cursor.acceptWords("transaction", "isolation", "level")) {
      return new Command.ShowSetting("transaction_isolation");
    }
    return new Command.ShowSetting(cursor.expectQualifiedName());
  }

  private static Command parseReset(TokenCursor cursor) throws SqlStateException {
    String name = cursor.expectQualifiedName();
    return new Command.ResetSetting(name.equals("all") ? null : name);
  }

  private static Command parseAlter(TokenCursor cursor) throws SqlStateException {
    cursor.expectWord("system");
    cursor.expectWord("set");
    String name = cursor.expectQualifiedName();
    return new Command.AlterSystem(name, parseValue(cursor));
  }

  private static String parseValue(TokenCursor cursor) throws SqlStateException {
    if (!cursor.acceptSymbol("=")) {
      cursor.expectWord("to");
    }
    StringBuilder value = new StringBuilder();
    while (cursor.peek().kind() != TokenKind.END) {
      value.append(cursor.next().text());
    }
    return value.toString();
  }
}

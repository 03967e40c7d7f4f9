package org.mimosacleat.standin.endpoint;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Splits the text of SQL statements into tokens. */
final class Tokenizer {
  private final String text;
  private final List<Token> tokens = new ArrayList<>();
  private int position;

  private Tokenizer(String text) {
    this.text = text;
  }

  static List<Token> tokenize(String text) throws SqlStateException {
    return new Tokenizer(text).run();
  }

  private List<Token> run() throws SqlStateException {
    while (position < text.length()) {
      readToken(text.charAt(position));
    }
    return tokens;
  }

  private void readToken(char first) throws SqlStateException {
    if (Character.isWhitespace(first)) {
      position++;
    } else if (text.startsWith("--", position)) {
      skipPast("\n");
    } else if (text.startsWith("/*", position)) {
      skipPast("*/");
    } else if (first == '\'') {
      tokens.add(new Token(TokenKind.STRING, readQuoted('\'')));
    } else if (first == '"') {
      tokens.add(new Token(TokenKind.WORD, readQuoted('"')));
    } else if (Character.isLetter(first) || first == '_') {
      tokens.add(new Token(TokenKind.WORD, readWord().toLowerCase(Locale.ROOT)));
    } else if (Character.isDigit(first)) {
      tokens.add(new Token(TokenKind.NUMBER, readWord()));
    } else if (first == '$') {
      position++;
      tokens.add(new Token(TokenKind.PARAMETER, readWord()));
    } else {
      readSymbol(first);
    }
  }

  private void readSymbol(char first) throws SqlStateException {
    if (text.startsWith("::", position)) {
      position += 2;
      tokens.add(new Token(TokenKind.SYMBOL, "::"));
      return;
    }
    if ("(),;=*+-".indexOf(first) < 0) {
      throw new SqlStateException(
          SqlStateException.SYNTAX_ERROR, "syntax error at or near \"" + first + "\"");
    }
    position++;
    tokens.add(new Token(TokenKind.SYMBOL, String.valueOf(first)));
  }

  private void skipPast(String end) {
    int found = text.indexOf(end, position);
    position = found < 0 ? text.length() : found + end.length();
  }

  private String readWord() {
    int start = position;
    while (position < text.length() && isWordPart(text.charAt(position))) {
      position++;
    }
    return text.substring(start, position);
  }

  private static boolean isWordPart(char character) {
    return Character.isLetterOrDigit(character) || character == '_' || character == '.';
  }

  private String readQuoted(char quote) throws SqlStateException {
    StringBuilder value = new StringBuilder();
    position++;
    while (position < text.length()) {
      char character = text.charAt(position++);
      if (character != quote) {
        value.append(character);
      } else if (position < text.length() && text.charAt(position) == quote) {
        value.append(quote);
        position++;
      } else {
        return value.toString();
      }
    }
    throw new SqlStateException(SqlStateException.SYNTAX_ERROR, "unterminated quoted string");
  }
}

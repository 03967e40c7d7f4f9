package org.mimosacleat.standin.endpoint;

import java.util.List;

/** A cursor over the tokens of one statement. */
final class TokenCursor {
  private final List<Token> tokens;
  private int position;

  TokenCursor(List<Token> tokens) {
    this.tokens = tokens;
  }

  Token peek() {
    return position < tokens.size() ? tokens.get(position) : Token.END;
  }

  Token next() {
    Token token = peek();
    position++;
    return token;
  }

  /** Consumes the words if they are the next tokens; otherwise consumes nothing. */
  boolean acceptWords(String... words) {
    int start = position;
    for (String word : words) {
      if (!next().is(TokenKind.WORD, word)) {
        position = start;
        return false;
      }
    }
    return true;
  }

  boolean acceptSymbol(String symbol) {
    if (!peek().is(TokenKind.SYMBOL, symbol)) {
      return false;
    }
    position++;
    return true;
  }

  /** Returns whether the token after the next one is {@code symbol}. */
  boolean followedBySymbol(String symbol) {
    int following = position + 1;
    return following < tokens.size() && tokens.get(following).is(TokenKind.SYMBOL, symbol);
  }

  void expectWord(String word) throws SqlStateException {
    if (!acceptWords(word)) {
      throw unexpectedToken();
    }
  }

  void expectSymbol(String symbol) throws SqlStateException {
    if (!acceptSymbol(symbol)) {
      throw unexpectedToken();
    }
  }

  /** Consumes a name and returns it without a schema or table prefix. */
  String expectName() throws SqlStateException {
    String name = expectQualifiedName();
    return name.substring(name.lastIndexOf('.') + 1);
  }

  String expectQualifiedName() throws SqlStateException {
    if (peek().kind() != TokenKind.WORD) {
      throw unexpectedToken();
    }
    return next().text();
  }

  void expectEnd() throws SqlStateException {
    if (peek().kind() != TokenKind.END) {
      throw unexpectedToken();
    }
  }

  void skipRest() {
    position = tokens.size();
  }

  SqlStateException unexpectedToken() {
    return new SqlStateException(
        SqlStateException.SYNTAX_ERROR, "syntax error at or near \"" + peek().text() + "\"");
  }
}

package org.mimosacleat.standin.endpoint;

import java.util.List;

/** Walks over the tokens of one statement. */
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

  /** Consumes the words if all of them come next. */
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

  /** Tells whether {@code symbol} comes right after the next token. */
  boolean followedBySymbol(String symbol) {
    int following = position + 1;
    return following < tokens.size() && tokens.get(following).is(TokenKind.SYMBOL, symbol);
  }

  void expectWord(String word) throws SqlError {
    if (!acceptWords(word)) {
      throw unexpected();
    }
  }

  void expectSymbol(String symbol) throws SqlError {
    if (!acceptSymbol(symbol)) {
      throw unexpected();
    }
  }

  /** Consumes a name and drops the schema or table in front of it. */
  String expectName() throws SqlError {
    String name = expectQualifiedName();
    return name.substring(name.lastIndexOf('.') + 1);
  }

  String expectQualifiedName() throws SqlError {
    if (peek().kind() != TokenKind.WORD) {
      throw unexpected();
    }
    return next().text();
  }

  void expectEnd() throws SqlError {
    if (peek().kind() != TokenKind.END) {
      throw unexpected();
    }
  }

  void skipRest() {
    position = tokens.size();
  }

  SqlError unexpected() {
    return new SqlError(SqlError.SYNTAX_ERROR, "syntax error at or near \"" + peek().text() + "\"");
  }
}

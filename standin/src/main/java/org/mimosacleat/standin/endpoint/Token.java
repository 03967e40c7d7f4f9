package org.mimosacleat.standin.endpoint;

/**
 * One token of a statement.
 *
 * @param kind the kind
 * @param text the text, in the form that {@link TokenKind} describes
 */
record Token(TokenKind kind, String text) {
  static final Token END = new Token(TokenKind.END, "end of input");

  boolean is(TokenKind expectedKind, String expectedText) {
    return kind == expectedKind && text.equals(expectedText);
  }
}

package org.mimosacleat.standin.endpoint;

/** The kinds of tokens in a statement. */
enum TokenKind {
  /** A key word or a name, in lower case. */
  WORD,
  /** A quoted string, without its quotes. */
  STRING,
  /** A number. */
  NUMBER,
  /** A parameter; the text is its number. */
  PARAMETER,
  /** One or two characters of punctuation. */
  SYMBOL,
  /** The end of the statement. */
  END
}

package org.mimosacleat.standin.endpoint;

/** The kinds of tokens in a statement. */
enum TokenKind {
  /** A keyword or a name; in lower case unless it was quoted. */
  WORD,
  /** A quoted string, without its quotes. */
  STRING,
  /** A number. */
  NUMBER,
  /** A parameter such as {@code $1}; the text is its number. */
  PARAMETER,
  /** An operator or punctuation of one or two characters. */
  SYMBOL,
  /** The end of the statement. */
  END
}

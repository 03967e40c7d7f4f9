package org.mimosacleat.core.schedule;

/**
 * Identifies the shape of a statement: two statements that differ only in their literals have the
 * same fingerprint.
 *
 * @param hash a 64-bit hash of the statement's shape
 */
public record Fingerprint(long hash) {
  private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;
  private static final char PLACEHOLDER = '?';

  /** Returns the fingerprint of a statement's text, ignoring the values of strings and numbers. */
  public static Fingerprint of(String text) {
    long hash = FNV_OFFSET_BASIS;
    char previous = ' ';
    int index = 0;
    while (index < text.length()) {
      char character = text.charAt(index);
      boolean isLiteral = character == '\'' || startsNumber(character, previous);
      index = isLiteral ? endOfLiteral(text, index) : index + 1;
      char normalized = normalize(character, isLiteral);
      boolean repeatedSpace = normalized == ' ' && previous == ' ';
      hash = repeatedSpace ? hash : (hash ^ normalized) * FNV_PRIME;
      previous = normalized;
    }
    return new Fingerprint(hash);
  }

  private static char normalize(char character, boolean isLiteral) {
    if (isLiteral) {
      return PLACEHOLDER;
    }
    return Character.isWhitespace(character) ? ' ' : Character.toLowerCase(character);
  }

  private static boolean startsNumber(char character, char previous) {
    return Character.isDigit(character)
        && !Character.isLetterOrDigit(previous)
        && previous != '_'
        && previous != '$';
  }

  private static int endOfLiteral(String text, int start) {
    int index = start + 1;
    if (text.charAt(start) == '\'') {
      int quote = text.indexOf('\'', index);
      return quote < 0 ? text.length() : quote + 1;
    }
    while (index < text.length() && isNumberPart(text.charAt(index))) {
      index++;
    }
    return index;
  }

  private static boolean isNumberPart(char character) {
    return Character.isDigit(character) || character == '.';
  }
}

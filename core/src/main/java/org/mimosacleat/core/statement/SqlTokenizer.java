package org.mimosacleat.core.statement;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Splits SQL text into statements, each a list of words in upper case. Comments, quoted text and
 * dollar-quoted text are skipped; punctuation separates words.
 */
final class SqlTokenizer {
  private final String text;
  private final List<List<String>> statements = new ArrayList<>();
  private List<String> words = new ArrayList<>();
  private int index;

  private SqlTokenizer(String text) {
    this.text = text;
  }

  /** Returns the words of each statement, omitting statements without words. */
  static List<List<String>> split(String text) {
    SqlTokenizer tokenizer = new SqlTokenizer(text);
    while (tokenizer.index < text.length()) {
      tokenizer.step();
    }
    tokenizer.endStatement();
    return tokenizer.statements;
  }

  private void step() {
    char current = text.charAt(index);
    if (current == ';') {
      endStatement();
      index++;
    } else if (text.startsWith("--", index)) {
      skipPast("\n", index + 2);
    } else if (text.startsWith("/*", index)) {
      skipComment();
    } else if (current == '\'' || current == '"') {
      skipQuoted(current);
    } else if (current == '$') {
      skipDollarQuoted();
    } else if (isWordStart(current)) {
      readWord();
    } else {
      index++;
    }
  }

  private void endStatement() {
    if (!words.isEmpty()) {
      statements.add(List.copyOf(words));
      words = new ArrayList<>();
    }
  }

  private void readWord() {
    int start = index;
    while (index < text.length() && isWordPart(text.charAt(index))) {
      index++;
    }
    words.add(text.substring(start, index).toUpperCase(Locale.ROOT));
  }

  private void skipComment() {
    int depth = 0;
    while (index < text.length()) {
      if (text.startsWith("/*", index)) {
        depth++;
        index += 2;
      } else if (text.startsWith("*/", index)) {
        depth--;
        index += 2;
        if (depth == 0) {
          return;
        }
      } else {
        index++;
      }
    }
  }

  private void skipQuoted(char quote) {
    boolean escapes = quote == '\'' && isEscapeString();
    index++;
    while (index < text.length()) {
      char current = text.charAt(index);
      index += escapes && current == '\\' ? 2 : 1;
      if (current == quote) {
        return;
      }
    }
  }

  private boolean isEscapeString() {
    boolean prefixed = index > 0 && Character.toUpperCase(text.charAt(index - 1)) == 'E';
    return prefixed && (index == 1 || !isWordPart(text.charAt(index - 2)));
  }

  private void skipDollarQuoted() {
    int tagEnd = text.indexOf('$', index + 1);
    if (tagEnd < 0 || !isTag(text.substring(index + 1, tagEnd))) {
      index++;
      return;
    }
    String delimiter = text.substring(index, tagEnd + 1);
    skipPast(delimiter, tagEnd + 1);
  }

  private static boolean isTag(String tag) {
    if (tag.isEmpty()) {
      return true;
    }
    return isWordStart(tag.charAt(0)) && tag.chars().allMatch(part -> isWordPart((char) part));
  }

  private void skipPast(String delimiter, int from) {
    int found = text.indexOf(delimiter, from);
    index = found < 0 ? text.length() : found + delimiter.length();
  }

  private static boolean isWordStart(char character) {
    return Character.isLetter(character) || character == '_';
  }

  private static boolean isWordPart(char character) {
    return Character.isLetterOrDigit(character) || character == '_' || character == '.';
  }
}

package org.mimosacleat.core.settings;

import java.io.Reader;
import java.util.List;

/**
 * Hands out one line for each read, so that the line a parser is working on is known although the
 * parser does not tell it.
 */
final class LineByLineReader extends Reader {
  private static final int END = -1;

  private final List<String> lines;
  private int line;
  private int offset;

  LineByLineReader(List<String> lines) {
    this.lines = lines;
  }

  /** Returns the number of the line that was handed out last, from 1. */
  int line() {
    boolean insideLine = offset > 0;
    return insideLine ? line + 1 : line;
  }

  @Override
  public int read(char[] target, int start, int length) {
    if (line >= lines.size()) {
      return END;
    }
    String current = lines.get(line) + '\n';
    int count = Math.min(length, current.length() - offset);
    current.getChars(offset, offset + count, target, start);
    offset += count;
    if (offset == current.length()) {
      line++;
      offset = 0;
    }
    return count;
  }

  @Override
  public void close() {
    line = lines.size();
  }
}

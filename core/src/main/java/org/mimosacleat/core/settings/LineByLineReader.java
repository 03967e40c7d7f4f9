package org.mimosacleat.core.settings;

import java.io.Reader;
import java.util.List;

/**
 * Returns at most one line per read, which makes the current line of a parser known although the
 * parser does not report line numbers.
 */
final class LineByLineReader extends Reader {
  private static final int END_OF_STREAM = -1;

  private final List<String> lines;
  private int lineIndex;
  private int offset;

  LineByLineReader(List<String> lines) {
    this.lines = lines;
  }

  /** Returns the number of the line that was read last, starting at 1. */
  int lineNumber() {
    boolean insideLine = offset > 0;
    return insideLine ? lineIndex + 1 : lineIndex;
  }

  @Override
  public int read(char[] target, int start, int length) {
    if (lineIndex >= lines.size()) {
      return END_OF_STREAM;
    }
    String lineText = lines.get(lineIndex) + '\n';
    int count = Math.min(length, lineText.length() - offset);
    lineText.getChars(offset, offset + count, target, start);
    offset += count;
    if (offset == lineText.length()) {
      lineIndex++;
      offset = 0;
    }
    return count;
  }

  @Override
  public void close() {
    lineIndex = lines.size();
  }
}

package org.mimosacleat.core.position;

import org.mimosacleat.core.check.Checks;

/**
 * A position in the write-ahead log of a group, in bytes. PostgreSQL calls it the log sequence
 * number (LSN) and writes it as two hexadecimal halves of 32 bits, for example {@code 0/16B3748}.
 *
 * @param bytes the offset in bytes from the start of the log, zero or more
 */
public record LogPosition(long bytes) implements Comparable<LogPosition> {
  /** The start of the log. */
  public static final LogPosition START = new LogPosition(0);

  private static final int HALF_BITS = 32;
  private static final long LOW_HALF_MASK = 0xFFFF_FFFFL;
  private static final int HEX_RADIX = 16;

  /** Checks that the offset is not negative. */
  public LogPosition {
    Checks.notNegative("log position", bytes);
  }

  /**
   * Parses PostgreSQL's notation.
   *
   * @throws IllegalArgumentException if {@code text} is not in that notation
   */
  public static LogPosition parse(String text) {
    int slash = text.indexOf('/');
    if (slash < 1) {
      throw new IllegalArgumentException("log position must look like 0/16B3748, but was " + text);
    }
    try {
      long high = Long.parseLong(text.substring(0, slash), HEX_RADIX);
      long low = Long.parseLong(text.substring(slash + 1), HEX_RADIX);
      return new LogPosition((high << HALF_BITS) | low);
    } catch (NumberFormatException notHexadecimal) {
      throw new IllegalArgumentException(
          "log position must look like 0/16B3748, but was " + text, notHexadecimal);
    }
  }

  @Override
  public int compareTo(LogPosition other) {
    return Long.compare(bytes, other.bytes);
  }

  /** Returns the position in PostgreSQL's notation. */
  @Override
  public String toString() {
    return Long.toHexString(bytes >>> HALF_BITS).toUpperCase(java.util.Locale.ROOT)
        + "/"
        + Long.toHexString(bytes & LOW_HALF_MASK).toUpperCase(java.util.Locale.ROOT);
  }
}

package org.mimosacleat.serving.statement;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.mimosacleat.core.check.Checks;

/**
 * What a prepared statement does. Two clients may use the same name for different statements, but
 * equal shapes are equal statements. On endpoints a prepared statement is therefore named after its
 * shape, so that sessions can share it.
 *
 * @param writes whether running it may write
 * @param shape the shape as the client sent it, of one word or more
 */
public record PreparedShape(boolean writes, String shape) {
  private static final String READ_PREFIX = "r";
  private static final String WRITE_PREFIX = "w";
  private static final char PLAIN_MARK = '_';
  private static final char HASH_MARK = '#';

  private static final int MAX_PLAIN_LENGTH = 64;

  private static final String HASH_ALGORITHM = "SHA-256";

  /** Checks the shape. */
  public PreparedShape {
    Checks.notNull("shape", shape);
  }

  /**
   * Returns the name that the statement has on every endpoint connection: one word, different for
   * different shapes. It contains the shape, or its hash if the shape is no plain word.
   */
  public String sharedName() {
    String kind = writes ? WRITE_PREFIX : READ_PREFIX;
    return isPlainWord() ? kind + PLAIN_MARK + shape : kind + HASH_MARK + hash();
  }

  private boolean isPlainWord() {
    for (int index = 0; index < shape.length(); index++) {
      char character = shape.charAt(index);
      boolean letter = character >= 'a' && character <= 'z' || character >= 'A' && character <= 'Z';
      boolean digit = character >= '0' && character <= '9';
      if (!letter && !digit && character != '_' && character != '-') {
        return false;
      }
    }
    return !shape.isEmpty() && shape.length() <= MAX_PLAIN_LENGTH;
  }

  private String hash() {
    try {
      byte[] bytes = shape.getBytes(StandardCharsets.UTF_8);
      return HexFormat.of().formatHex(MessageDigest.getInstance(HASH_ALGORITHM).digest(bytes));
    } catch (NoSuchAlgorithmException missing) {
      throw new IllegalStateException("every Java runtime has " + HASH_ALGORITHM, missing);
    }
  }
}

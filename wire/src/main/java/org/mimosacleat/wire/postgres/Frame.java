package org.mimosacleat.wire.postgres;

import org.mimosacleat.core.check.Checks;

/**
 * A frame with a type. The body is not copied and must not be modified.
 *
 * @param type the type byte, see {@link FrontendType} and {@link BackendType}
 * @param body the bytes after the length field
 */
@SuppressWarnings("ArrayRecordComponent")
public record Frame(byte type, byte[] body) {
  /** The size of the type and the length field, which precede the body. */
  public static final int HEADER_BYTES = 5;

  /** The size of the length field, whose value includes itself. */
  static final int LENGTH_BYTES = 4;

  /** Checks that the body is not null. */
  public Frame {
    Checks.notNull("frame body", body);
  }

  /** Returns the size on the wire, in bytes. */
  public int size() {
    return HEADER_BYTES + body.length;
  }

  /** Returns whether the frame has the given type. */
  public boolean hasType(byte expected) {
    return type == expected;
  }
}

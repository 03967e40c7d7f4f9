package org.mimosacleat.wire.postgres;

import org.mimosacleat.core.check.Checks;

/**
 * One typed frame. The body is shared, not copied: whoever holds a frame must not change it.
 *
 * @param type the type byte, see {@link FrontendType} and {@link BackendType}
 * @param body what follows the length word
 */
@SuppressWarnings("ArrayRecordComponent")
public record Frame(byte type, byte[] body) {
  /** The bytes of the type and the length word in front of the body. */
  public static final int HEADER_BYTES = 5;

  /** The length word counts itself. */
  static final int LENGTH_BYTES = 4;

  /** Checks the body. */
  public Frame {
    Checks.notNull("frame body", body);
  }

  /** Returns the size on the wire, in bytes. */
  public int size() {
    return HEADER_BYTES + body.length;
  }

  /** Tells whether the frame has this type. */
  public boolean is(byte expected) {
    return type == expected;
  }
}

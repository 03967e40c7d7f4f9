package org.mimosacleat.wire.peer;

import java.io.IOException;

/**
 * Thrown when a message is too large to be sent; nothing was sent, and the connection is usable.
 */
public final class MessageTooLargeException extends IOException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param bytes the size of the message
   * @param limit the maximum size
   */
  public MessageTooLargeException(int bytes, int limit) {
    super("peer message: " + bytes + " bytes exceed the limit of " + limit);
  }
}

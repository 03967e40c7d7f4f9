package org.mimosacleat.wire.postgres;

import java.io.IOException;

/** Thrown when bytes violate the protocol; the connection must then be closed. */
public final class FrameException extends IOException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception; the message should name the place and the value. */
  public FrameException(String message) {
    super(message);
  }
}

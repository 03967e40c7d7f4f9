package org.mimosacleat.wire.postgres;

import java.io.IOException;

/** Reports bytes that do not follow the protocol; the connection they came on has to be closed. */
public final class FrameException extends IOException {
  private static final long serialVersionUID = 1L;

  /** Takes a message that names the place and the value. */
  public FrameException(String message) {
    super(message);
  }
}

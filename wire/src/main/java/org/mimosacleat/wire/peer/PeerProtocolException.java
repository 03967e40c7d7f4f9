package org.mimosacleat.wire.peer;

import java.io.IOException;

/** Reports bytes of a peer that are no message; the connection they came on has to be closed. */
public final class PeerProtocolException extends IOException {
  private static final long serialVersionUID = 1L;

  /** Takes a message that names the place and the value. */
  public PeerProtocolException(String message) {
    super(message);
  }
}

package org.mimosacleat.wire.peer;

import java.io.IOException;

/** Thrown when a peer violates the protocol; the connection must then be closed. */
public final class PeerProtocolException extends IOException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception; the message should name the place and the value. */
  public PeerProtocolException(String message) {
    super(message);
  }
}

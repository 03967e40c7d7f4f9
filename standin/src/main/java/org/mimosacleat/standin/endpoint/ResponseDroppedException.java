package org.mimosacleat.standin.endpoint;

import java.io.IOException;

/** Closes a connection after a commit took effect and before its response is sent. */
final class ResponseDroppedException extends IOException {
  private static final long serialVersionUID = 1L;

  ResponseDroppedException() {
    super(
        "response dropped by an injected fault: the commit took effect, the connection is closed");
  }
}

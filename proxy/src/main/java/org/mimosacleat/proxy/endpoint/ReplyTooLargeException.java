package org.mimosacleat.proxy.endpoint;

import java.io.IOException;

/** Thrown if the reply of an endpoint exceeds the maximum size that the proxy relays. */
public final class ReplyTooLargeException extends IOException {
  private static final long serialVersionUID = 1L;

  ReplyTooLargeException(int maximumReplyBytes) {
    super("the answer is larger than the limit of " + maximumReplyBytes + " bytes");
  }
}

package org.mimosacleat.proxy.endpoint;

import java.io.IOException;

/** Reports an answer that is larger than a proxy relays. */
public final class ReplyTooLargeException extends IOException {
  private static final long serialVersionUID = 1L;

  ReplyTooLargeException(int maximumReplyBytes) {
    super("the answer is over the limit of " + maximumReplyBytes + " bytes");
  }
}

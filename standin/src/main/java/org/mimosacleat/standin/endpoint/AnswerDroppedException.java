package org.mimosacleat.standin.endpoint;

import java.io.IOException;

/** Ends a connection after a statement took effect and before its answer is sent. */
final class AnswerDroppedException extends IOException {
  private static final long serialVersionUID = 1L;

  AnswerDroppedException() {
    super("answer dropped on purpose");
  }
}

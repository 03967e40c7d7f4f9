package org.mimosacleat.core.error;

import org.mimosacleat.core.check.Checks;

/**
 * A failure with its kind and a message for the client. Methods that can fail return it as the left
 * value of an {@code io.vavr.control.Either}.
 *
 * @param kind the error kind
 * @param detail what happened, with the location and the value; never contains a secret
 */
public record Failure(ErrorKind kind, String detail) {
  /** Validates the components. */
  public Failure {
    Checks.notNull("error kind", kind);
    Checks.notNull("detail", detail);
  }
}

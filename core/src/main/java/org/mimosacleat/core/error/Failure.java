package org.mimosacleat.core.error;

import org.mimosacleat.core.check.Checks;

/**
 * One failure: its kind, and what happened in words for the caller. Methods that can fail return it
 * on the left of an {@code io.vavr.control.Either}.
 *
 * @param kind the row of the error table
 * @param detail what happened, naming the place and the value, without any secret
 */
public record Failure(ErrorKind kind, String detail) {
  /** Checks the parts. */
  public Failure {
    Checks.notNull("error kind", kind);
    Checks.notNull("detail", detail);
  }
}

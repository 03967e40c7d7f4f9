package org.mimosacleat.serving.statement;

import org.mimosacleat.core.check.Checks;

/**
 * What a prepared statement does. Names of clients collide, shapes do not: on endpoints a prepared
 * statement is therefore named after its shape, so that sessions share it.
 *
 * @param writes whether running it may write
 * @param shape the shape as the client gave it, one word
 */
public record PreparedShape(boolean writes, String shape) {
  private static final String READ_PREFIX = "r_";
  private static final String WRITE_PREFIX = "w_";

  /** Checks the shape. */
  public PreparedShape {
    Checks.notNull("shape", shape);
  }

  /** Returns the name that the statement has on every endpoint connection. */
  public String sharedName() {
    return (writes ? WRITE_PREFIX : READ_PREFIX) + shape;
  }
}

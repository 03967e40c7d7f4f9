package org.mimosacleat.serving.statement;

import org.mimosacleat.core.check.Checks;

/**
 * What a prepared statement does. Two clients may use the same name for different statements, but
 * equal shapes are equal statements. On endpoints a prepared statement is therefore named after its
 * shape, so that sessions can share it.
 *
 * @param writes whether running it may write
 * @param shape the shape as the client sent it, a single word
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

package org.mimosacleat.store.pacing;

import java.util.random.RandomGenerator;
import org.mimosacleat.core.check.Checks;

/**
 * Names one write to the store. It is stored with what was written, so that a writer whose answer
 * was lost can tell by reading whether its write took effect.
 *
 * @param value the name, unique over all writers and all time
 */
public record WriteId(String value) {
  /** Checks the name. */
  public WriteId {
    Checks.name("write id", value);
  }

  /** Draws a new id of 128 random bits. */
  public static WriteId random(RandomGenerator random) {
    return new WriteId(String.format("%016x%016x", random.nextLong(), random.nextLong()));
  }

  @Override
  public String toString() {
    return value;
  }
}

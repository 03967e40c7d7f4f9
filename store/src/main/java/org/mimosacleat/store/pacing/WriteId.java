package org.mimosacleat.store.pacing;

import java.util.random.RandomGenerator;
import org.mimosacleat.core.check.Checks;

/**
 * Identifies one write to the store. The id is stored with the written data, so that a writer that
 * did not receive an answer can read the data to find out whether its write took effect.
 *
 * @param value the id; never used for another write, by any writer
 */
public record WriteId(String value) {
  /** Validates the id. */
  public WriteId {
    Checks.name("write id", value);
  }

  /** Returns a new id of 128 random bits. */
  public static WriteId random(RandomGenerator random) {
    return new WriteId(String.format("%016x%016x", random.nextLong(), random.nextLong()));
  }

  @Override
  public String toString() {
    return value;
  }
}

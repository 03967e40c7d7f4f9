package org.mimosacleat.core.promotion;

import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.VmId;

/**
 * Names one write of a {@link GroupRow}. Each write is conditional on the version before it, so a
 * writer whose answer was lost reads the row back: if it finds its own version, the write took
 * effect.
 *
 * @param number one more than that of the write before
 * @param writer the VM that wrote it
 * @param nonce a number drawn at random, so that no two writes of one VM have the same version
 */
public record RowVersion(long number, VmId writer, long nonce) {
  /** Checks the parts. */
  public RowVersion {
    Checks.notNegative("version number", number);
    Checks.notNull("writer", writer);
  }
}

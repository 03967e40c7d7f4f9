package org.mimosacleat.core.promotion;

import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.VmId;

/**
 * Identifies one write of a {@link GroupRow}. Each write is conditional on the previous version. A
 * writer that got no answer reads the row back: if it finds its own version, the write took effect.
 *
 * @param number the number of the previous write plus one
 * @param writer the VM that wrote the row
 * @param nonce a random number, so that no two writes of one VM have the same version
 */
public record RowVersion(long number, VmId writer, long nonce) {
  /** Checks the components. */
  public RowVersion {
    Checks.notNegative("version number", number);
    Checks.notNull("writer", writer);
  }
}

package org.mimosacleat.serving.limits;

import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.VmId;

/**
 * The row that names the limit coordinator.
 *
 * @param coordinator the proxy
 * @param epoch increases with each change of the row
 */
public record CoordinatorRow(VmId coordinator, long epoch) {
  /** Checks the values. */
  public CoordinatorRow {
    Checks.notNull("coordinator", coordinator);
    Checks.notNegative("epoch", epoch);
  }
}

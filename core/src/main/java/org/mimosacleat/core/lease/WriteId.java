package org.mimosacleat.core.lease;

import org.mimosacleat.core.check.Checks;

/**
 * Identifies one write of a lease row. A writer that got no answer reads the row back: if it finds
 * its own id there, the write took effect.
 *
 * @param value unique among all writes of all VMs
 */
public record WriteId(String value) {
  /** Checks that the id is a valid name. */
  public WriteId {
    Checks.name("write id", value);
  }

  @Override
  public String toString() {
    return value;
  }
}

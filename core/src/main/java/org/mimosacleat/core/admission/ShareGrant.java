package org.mimosacleat.core.admission;

import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.core.id.VmId;

/**
 * The coordinator's answer to one report.
 *
 * @param customer the customer whose allowance is divided
 * @param resource the resource that the units belong to
 * @param holder the home that reported
 * @param coordinator the VM that answers
 * @param issued the time of the answer, in milliseconds of the coordinator's clock
 * @param sequence the sequence number of the answered report
 * @param units the units that the holder may admit from now on
 */
public record ShareGrant(
    TeamId customer,
    Resource resource,
    VmId holder,
    VmId coordinator,
    long issued,
    long sequence,
    long units) {
  /** Checks the values. */
  public ShareGrant {
    Checks.notNull("customer id", customer);
    Checks.notNull("resource", resource);
    Checks.notNull("holder", holder);
    Checks.notNull("coordinator", coordinator);
    Checks.notNegative("granted units", units);
  }
}

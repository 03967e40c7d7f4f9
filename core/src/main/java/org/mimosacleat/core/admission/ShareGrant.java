package org.mimosacleat.core.admission;

import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.CustomerId;
import org.mimosacleat.core.id.VmId;

/**
 * The coordinator's answer to one report.
 *
 * @param customer whose allowance it is
 * @param resource which part of it
 * @param holder the home that reported
 * @param coordinator the VM that answers
 * @param issued when it was answered, in milliseconds of the coordinator's clock
 * @param sequence the sequence of the report that is answered
 * @param units the units that the holder may admit by from now on
 */
public record ShareGrant(
    CustomerId customer,
    Resource resource,
    VmId holder,
    VmId coordinator,
    long issued,
    long sequence,
    long units) {
  /** Checks the parts. */
  public ShareGrant {
    Checks.notNull("customer id", customer);
    Checks.notNull("resource", resource);
    Checks.notNull("holder", holder);
    Checks.notNull("coordinator", coordinator);
    Checks.notNegative("granted units", units);
  }
}

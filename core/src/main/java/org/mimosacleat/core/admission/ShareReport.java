package org.mimosacleat.core.admission;

import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.CustomerId;
import org.mimosacleat.core.id.VmId;

/**
 * What a home tells the coordinator of a customer's allowance.
 *
 * @param customer whose allowance it is
 * @param resource which part of it
 * @param holder the home
 * @param coordinator the VM that the report is meant for
 * @param echo the {@link ShareGrant#issued} of the last answer from this coordinator, or {@link
 *     #NO_ECHO}; it proves to the coordinator that the report was made later than that answer
 * @param sequence rises with each report of the holder
 * @param held the units that the holder admits by
 * @param demand the units that its callers asked for lately
 */
public record ShareReport(
    CustomerId customer,
    Resource resource,
    VmId holder,
    VmId coordinator,
    long echo,
    long sequence,
    long held,
    long demand) {
  /** Stands in the place of the echo while the coordinator has not answered. */
  public static final long NO_ECHO = -1;

  /** Checks the parts. */
  public ShareReport {
    Checks.notNull("customer id", customer);
    Checks.notNull("resource", resource);
    Checks.notNull("holder", holder);
    Checks.notNull("coordinator", coordinator);
    Checks.notNegative("held units", held);
    Checks.notNegative("demand", demand);
  }
}

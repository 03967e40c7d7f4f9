package org.mimosacleat.core.admission;

import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.core.id.VmId;

/**
 * The report of a home to the coordinator of a customer's allowance.
 *
 * @param customer the customer whose allowance is divided
 * @param resource the resource that the units belong to
 * @param holder the home that reports
 * @param coordinator the VM to which the report is addressed
 * @param echo the {@link ShareGrant#issued} of the last answer from this coordinator, or {@link
 *     #NO_ECHO}; it proves to the coordinator that the report was made later than that answer
 * @param sequence the number of the report, increasing with each report of the holder
 * @param held the units that the holder currently may admit
 * @param demand the units that its clients have recently requested
 */
public record ShareReport(
    TeamId customer,
    Resource resource,
    VmId holder,
    VmId coordinator,
    long echo,
    long sequence,
    long held,
    long demand) {
  /** The echo while the coordinator has not answered yet. */
  public static final long NO_ECHO = -1;

  /** Checks the values. */
  public ShareReport {
    Checks.notNull("customer id", customer);
    Checks.notNull("resource", resource);
    Checks.notNull("holder", holder);
    Checks.notNull("coordinator", coordinator);
    Checks.notNegative("held units", held);
    Checks.notNegative("demand", demand);
  }
}

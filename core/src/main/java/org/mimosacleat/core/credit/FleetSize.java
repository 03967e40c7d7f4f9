package org.mimosacleat.core.credit;

import org.mimosacleat.core.check.Checks;

/**
 * The actual or wanted size of the fleet, in the units that cost credits.
 *
 * @param vms the number of VMs
 * @param connections the number of endpoint connections
 */
public record FleetSize(int vms, int connections) {
  /** Checks the values. */
  public FleetSize {
    Checks.notNegative("VMs", vms);
    Checks.notNegative("connections", connections);
  }

  /**
   * Returns this size reduced to what a cap allows: the minimum plus the same proportion of the VMs
   * and of the connections wanted beyond it, rounded down. The result is never below the minimum,
   * even if the cap is.
   *
   * @param minimum the smallest size that can provide the service
   * @param cap microcredits per second
   */
  public FleetSize limitedTo(double cap, FleetSize minimum, CreditPrices prices) {
    FleetSize wanted =
        new FleetSize(Math.max(vms, minimum.vms), Math.max(connections, minimum.connections));
    double extraCost = prices.rate(wanted) - prices.rate(minimum);
    double available = cap - prices.rate(minimum);
    if (extraCost <= available || extraCost <= 0) {
      return wanted;
    }
    double ratio = Math.max(0, available / extraCost);
    return new FleetSize(
        minimum.vms + (int) (ratio * (wanted.vms - minimum.vms)),
        minimum.connections + (int) (ratio * (wanted.connections - minimum.connections)));
  }
}

package org.mimosacleat.core.credit;

import org.mimosacleat.core.check.Checks;

/**
 * How much of what costs credits the fleet has, or wants.
 *
 * @param vms VMs
 * @param connections endpoint connections
 */
public record FleetSize(int vms, int connections) {
  /** Checks the values. */
  public FleetSize {
    Checks.notNegative("VMs", vms);
    Checks.notNegative("connections", connections);
  }

  /**
   * Returns the part of this size that a cap allows: the minimum, and of what is wanted beyond it
   * the same share of VMs as of connections, rounded down. The minimum is kept whatever the cap.
   *
   * @param minimum the smallest size that serves
   * @param cap microcredits a second
   */
  public FleetSize under(double cap, FleetSize minimum, CreditPrices prices) {
    FleetSize wanted =
        new FleetSize(Math.max(vms, minimum.vms), Math.max(connections, minimum.connections));
    double beyond = prices.rate(wanted) - prices.rate(minimum);
    double left = cap - prices.rate(minimum);
    if (beyond <= left || beyond <= 0) {
      return wanted;
    }
    double share = Math.max(0, left / beyond);
    return new FleetSize(
        minimum.vms + (int) (share * (wanted.vms - minimum.vms)),
        minimum.connections + (int) (share * (wanted.connections - minimum.connections)));
  }
}

package org.mimosacleat.core.credit;

import org.mimosacleat.core.check.Checks;

/**
 * The prices that the provider charges.
 *
 * @param vmRate microcredits per second for one VM
 * @param connectionRate microcredits per second for one open endpoint connection
 */
public record CreditPrices(double vmRate, double connectionRate) {
  private static final double MAX_RATE = 1e12;

  /** Checks the values. */
  public CreditPrices {
    Checks.between("rate of a VM", vmRate, 1e-6, MAX_RATE);
    Checks.between("rate of a connection", connectionRate, 0, MAX_RATE);
  }

  /** Returns the cost of a fleet of this size, in microcredits per second. */
  public double rate(FleetSize size) {
    return size.vms() * vmRate + size.connections() * connectionRate;
  }
}

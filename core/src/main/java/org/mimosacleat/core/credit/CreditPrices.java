package org.mimosacleat.core.credit;

import org.mimosacleat.core.check.Checks;

/**
 * What the provider charges.
 *
 * @param vmRate microcredits a second for one VM
 * @param connectionRate microcredits a second for one open endpoint connection
 */
public record CreditPrices(double vmRate, double connectionRate) {
  private static final double MAXIMUM_RATE = 1e12;

  /** Checks the values. */
  public CreditPrices {
    Checks.between("rate of a VM", vmRate, 1e-6, MAXIMUM_RATE);
    Checks.between("rate of a connection", connectionRate, 0, MAXIMUM_RATE);
  }

  /** Returns the microcredits a second that a fleet of this size costs. */
  public double rate(FleetSize size) {
    return size.vms() * vmRate + size.connections() * connectionRate;
  }
}

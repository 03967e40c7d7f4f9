package org.mimosacleat.core.membership;

import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.VmId;

/**
 * One VM of the platform's list, which lags.
 *
 * @param vm the VM
 * @param zone where it runs
 * @param address where it receives messages
 * @param leaving whether the platform is about to stop it
 */
public record ListedVm(VmId vm, AvailabilityZone zone, String address, boolean leaving) {
  /** Checks the parts. */
  public ListedVm {
    Checks.notNull("vm id", vm);
    Checks.notNull("availability zone", zone);
    Checks.notNull("address", address);
  }
}

package org.mimosacleat.core.membership;

import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.VmId;

/**
 * A VM in the platform's VM list, which may be out of date.
 *
 * @param vm the VM
 * @param zone its availability zone
 * @param address the address at which it receives messages
 * @param leaving whether the platform is about to stop it
 */
public record ListedVm(VmId vm, AvailabilityZone zone, String address, boolean leaving) {
  /** Checks that no reference is null. */
  public ListedVm {
    Checks.notNull("vm id", vm);
    Checks.notNull("availability zone", zone);
    Checks.notNull("address", address);
  }
}

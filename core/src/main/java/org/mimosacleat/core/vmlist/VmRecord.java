package org.mimosacleat.core.vmlist;

import java.net.InetSocketAddress;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.Region;
import org.mimosacleat.core.id.VmId;

/**
 * A VM of the fleet in the platform's list.
 *
 * @param id the VM
 * @param address the address at which other VMs of the fleet reach it
 * @param zone its availability zone
 * @param region the region of that availability zone
 * @param state whether it is live or about to be stopped
 */
public record VmRecord(
    VmId id, InetSocketAddress address, AvailabilityZone zone, Region region, ListedState state) {
  /** Validates the components. */
  public VmRecord {
    Checks.notNull("vm id", id);
    Checks.notNull("address", address);
    Checks.notNull("availability zone", zone);
    Checks.notNull("region", region);
    Checks.notNull("state", state);
  }
}

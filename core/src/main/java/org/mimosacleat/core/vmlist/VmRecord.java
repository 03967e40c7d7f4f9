package org.mimosacleat.core.vmlist;

import java.net.InetSocketAddress;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.Region;
import org.mimosacleat.core.id.VmId;

/**
 * One VM of the fleet, as the platform lists it.
 *
 * @param id the VM
 * @param address where other VMs of the fleet reach it
 * @param zone where it runs
 * @param region the region of that availability zone
 * @param state whether it stays
 */
public record VmRecord(
    VmId id, InetSocketAddress address, AvailabilityZone zone, Region region, ListedState state) {
  /** Checks the parts. */
  public VmRecord {
    Checks.notNull("vm id", id);
    Checks.notNull("address", address);
    Checks.notNull("availability zone", zone);
    Checks.notNull("region", region);
    Checks.notNull("state", state);
  }
}

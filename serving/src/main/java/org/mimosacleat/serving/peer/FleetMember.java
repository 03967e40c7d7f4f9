package org.mimosacleat.serving.peer;

import java.net.InetSocketAddress;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.VmId;

/**
 * A proxy of the fleet.
 *
 * @param vm the VM that it runs on
 * @param zone the availability zone of the VM
 * @param address the address on which it accepts connections of other proxies
 */
public record FleetMember(VmId vm, AvailabilityZone zone, InetSocketAddress address) {
  /** Checks that no component is null. */
  public FleetMember {
    Checks.notNull("VM", vm);
    Checks.notNull("availability zone of " + vm, zone);
    Checks.notNull("address of " + vm, address);
  }

  /** Written out, because the generated method is linked at run time, which delays the start. */
  @Override
  public boolean equals(Object other) {
    return other instanceof FleetMember that
        && vm.equals(that.vm)
        && zone.equals(that.zone)
        && address.equals(that.address);
  }

  @Override
  public int hashCode() {
    return vm.hashCode();
  }
}

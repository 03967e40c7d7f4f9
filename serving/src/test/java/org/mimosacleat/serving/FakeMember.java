package org.mimosacleat.serving;

import java.net.InetSocketAddress;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.serving.peer.FleetMember;

/** Members of the fleet that nobody connects to. */
public final class FakeMember {
  private static final int PORT = 7440;

  private FakeMember() {}

  /** Returns a member in the only zone. */
  public static FleetMember on(VmId vm) {
    return in("a", vm.value());
  }

  /** Returns a member in a zone. */
  public static FleetMember in(String zone, String vm) {
    return new FleetMember(
        new VmId(vm), new AvailabilityZone(zone), InetSocketAddress.createUnresolved(vm, PORT));
  }
}

package org.mimosacleat.core.membership;

import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.VmId;

/**
 * What is believed of one VM; the unit of gossip.
 *
 * @param vm the VM
 * @param zone where it runs
 * @param address where it receives messages, as its settings or the platform's list spell it
 * @param incarnation rises when the VM restarts or refutes a belief; zero is known from the list
 *     only
 * @param status the belief
 * @param source the VM that came to the belief
 */
public record MemberRecord(
    VmId vm,
    AvailabilityZone zone,
    String address,
    long incarnation,
    MemberStatus status,
    VmId source) {
  /** Checks the parts. */
  public MemberRecord {
    Checks.notNull("vm id", vm);
    Checks.notNull("availability zone", zone);
    Checks.notNull("address", address);
    Checks.notNegative("incarnation", incarnation);
    Checks.notNull("member status", status);
    Checks.notNull("source", source);
  }

  /** Returns the same VM and incarnation with another belief. */
  public MemberRecord withStatus(MemberStatus next, VmId by) {
    return new MemberRecord(vm, zone, address, incarnation, next, by);
  }

  /** Returns the same VM and status, as the VM itself tells it, with another incarnation. */
  public MemberRecord withIncarnation(long next) {
    return new MemberRecord(vm, zone, address, next, status, vm);
  }

  /** Tells whether this belief replaces {@code other} about the same VM. */
  public boolean overrides(MemberRecord other) {
    if (incarnation != other.incarnation) {
      return incarnation > other.incarnation;
    }
    return status.compareTo(other.status) > 0;
  }
}

package org.mimosacleat.core.membership;

import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.VmId;

/**
 * The status of one VM as a VM believes it to be; the unit of gossip.
 *
 * @param vm the VM
 * @param zone its availability zone
 * @param address the address at which it receives messages, as written in its settings or in the
 *     platform's list
 * @param incarnation increases when the VM restarts or refutes a suspicion; zero if the VM is known
 *     only from the platform's list
 * @param status the believed status
 * @param source the VM that determined the status
 */
public record MemberRecord(
    VmId vm,
    AvailabilityZone zone,
    String address,
    long incarnation,
    MemberStatus status,
    VmId source) {
  /** Checks that no reference is null and that the incarnation is not negative. */
  public MemberRecord {
    Checks.notNull("vm id", vm);
    Checks.notNull("availability zone", zone);
    Checks.notNull("address", address);
    Checks.notNegative("incarnation", incarnation);
    Checks.notNull("member status", status);
    Checks.notNull("source", source);
  }

  /** Returns a copy with another status, determined by {@code newSource}. */
  public MemberRecord withStatus(MemberStatus newStatus, VmId newSource) {
    return new MemberRecord(vm, zone, address, incarnation, newStatus, newSource);
  }

  /** Returns a copy with another incarnation and the VM itself as the source. */
  public MemberRecord withIncarnation(long newIncarnation) {
    return new MemberRecord(vm, zone, address, newIncarnation, status, vm);
  }

  /** Returns whether this record replaces {@code other}, a record of the same VM. */
  public boolean supersedes(MemberRecord other) {
    if (incarnation != other.incarnation) {
      return incarnation > other.incarnation;
    }
    return status.compareTo(other.status) > 0;
  }
}

package org.mimosacleat.core.placement;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;

/**
 * Decides whether a VM should seek, keep or hand over the home of a group. A group without a live
 * home is taken at once by its first live candidate; a group whose home lives is moved only after
 * the members have been the same for a while, so that a VM that comes and goes moves nothing.
 */
public final class HomePolicy {
  private final VmId self;
  private final Duration settleTime;

  /**
   * Makes a policy.
   *
   * @param self this VM
   * @param settleTime how long the members must have been the same before a live home is moved
   */
  public HomePolicy(VmId self, Duration settleTime) {
    this.self = self;
    this.settleTime = settleTime;
  }

  /**
   * Decides for one group.
   *
   * @param group the group
   * @param holder the VM that the lease row names, or empty if there is no row
   * @param holds whether this VM holds the lease; a VM that was restarted does not, although the
   *     row may still name it
   * @param holderIsLive whether that VM can be a home: it is neither dead nor leaving
   * @param placement the placement for the members that can be homes
   * @param unchangedFor how long the members have been the same
   */
  public HomeIntent decide(
      GroupId group,
      Optional<VmId> holder,
      boolean holds,
      boolean holderIsLive,
      PlacementTable placement,
      Duration unchangedFor) {
    List<VmId> candidates = placement.candidates(group);
    if (candidates.isEmpty()) {
      return new HomeIntent.Stay();
    }
    VmId preferred = candidates.getFirst();
    if (holder.isEmpty() || !holderIsLive) {
      return acquireIfPreferred(preferred, holder);
    }
    boolean isNamed = holder.get().equals(self);
    if (isNamed && !holds) {
      return new HomeIntent.Acquire("its row names this VM, which does not hold it");
    }
    if (!isNamed || preferred.equals(self) || unchangedFor.compareTo(settleTime) < 0) {
      return new HomeIntent.Stay();
    }
    return new HomeIntent.HandOver(preferred);
  }

  private HomeIntent acquireIfPreferred(VmId preferred, Optional<VmId> holder) {
    if (!preferred.equals(self)) {
      return new HomeIntent.Stay();
    }
    return new HomeIntent.Acquire(
        holder.map(vm -> "its home " + vm + " is not live").orElse("it has no home"));
  }
}

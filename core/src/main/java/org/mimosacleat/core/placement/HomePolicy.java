package org.mimosacleat.core.placement;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;

/**
 * Decides whether a VM should become, stay or stop being the home of a group. If a group has no
 * live home, its first live candidate takes over immediately. A live home is moved only after the
 * set of members has been unchanged for some time, so that a flapping VM moves no homes.
 */
public final class HomePolicy {
  private final VmId self;
  private final Duration settleTime;

  /**
   * Creates a policy.
   *
   * @param self this VM
   * @param settleTime how long the members must be unchanged before a live home is moved
   */
  public HomePolicy(VmId self, Duration settleTime) {
    this.self = self;
    this.settleTime = settleTime;
  }

  /**
   * Decides for one group.
   *
   * @param group the group
   * @param holder the VM in the lease row, or empty if there is no row
   * @param holds whether this process holds the lease; after a restart it does not, although the
   *     row may still name this VM
   * @param holderIsLive whether that VM can be a home, that is, it is neither dead nor leaving
   * @param placement the placement of the groups on the members that can be homes
   * @param unchangedFor how long the members have been unchanged
   */
  public HomeDecision decide(
      GroupId group,
      Optional<VmId> holder,
      boolean holds,
      boolean holderIsLive,
      PlacementTable placement,
      Duration unchangedFor) {
    List<VmId> candidates = placement.candidates(group);
    if (candidates.isEmpty()) {
      return new HomeDecision.NoChange();
    }
    VmId preferred = candidates.getFirst();
    if (holder.isEmpty() || !holderIsLive) {
      return acquireIfPreferred(preferred, holder);
    }
    boolean isHolder = holder.get().equals(self);
    if (isHolder && !holds) {
      return new HomeDecision.Acquire(
          "the lease row names this VM, but this process does not hold the lease");
    }
    if (!isHolder || preferred.equals(self) || unchangedFor.compareTo(settleTime) < 0) {
      return new HomeDecision.NoChange();
    }
    return new HomeDecision.HandOver(preferred);
  }

  private HomeDecision acquireIfPreferred(VmId preferred, Optional<VmId> holder) {
    if (!preferred.equals(self)) {
      return new HomeDecision.NoChange();
    }
    return new HomeDecision.Acquire(
        holder.map(vm -> "home " + vm + " is not live").orElse("the group has no home"));
  }
}

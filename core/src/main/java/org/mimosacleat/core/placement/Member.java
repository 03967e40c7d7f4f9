package org.mimosacleat.core.placement;

import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.VmId;

/**
 * A VM that can be a home.
 *
 * @param vm the VM
 * @param zone where it runs
 * @param weight its share of the groups relative to other members, 1 to {@value #MAXIMUM_WEIGHT}
 */
public record Member(VmId vm, AvailabilityZone zone, int weight) {
  /** The largest weight; each unit of weight costs one hash per group. */
  public static final int MAXIMUM_WEIGHT = 16;

  /** Checks the parts. */
  public Member {
    Checks.notNull("vm id", vm);
    Checks.notNull("availability zone", zone);
    Checks.between("member weight", weight, 1, MAXIMUM_WEIGHT);
  }

  /** Makes a member of weight one. */
  public Member(VmId vm, AvailabilityZone zone) {
    this(vm, zone, 1);
  }
}

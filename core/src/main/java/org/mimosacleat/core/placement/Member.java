package org.mimosacleat.core.placement;

import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.VmId;

/**
 * A VM that can be a home.
 *
 * @param vm the VM
 * @param zone its availability zone
 * @param weight its share of the groups relative to other members, 1 to {@value #MAX_WEIGHT}
 */
public record Member(VmId vm, AvailabilityZone zone, int weight) {
  /** The maximum weight; each unit of weight costs one hash per group. */
  public static final int MAX_WEIGHT = 16;

  /** Validates the components. */
  public Member {
    Checks.notNull("vm id", vm);
    Checks.notNull("availability zone", zone);
    Checks.between("member weight", weight, 1, MAX_WEIGHT);
  }

  /** Creates a member with weight one. */
  public Member(VmId vm, AvailabilityZone zone) {
    this(vm, zone, 1);
  }
}

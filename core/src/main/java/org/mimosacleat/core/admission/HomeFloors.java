package org.mimosacleat.core.admission;

import java.util.Map;
import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.core.id.VmId;

/** The share that each home of a team uses while it has no grant. */
@FunctionalInterface
public interface HomeFloors {
  /** The part of a team's rate that its homes use together while none of them has a grant. */
  double FLOOR_FRACTION = 0.8;

  /** Returns the floors of a team's homes in units; proxies without a floor may be absent. */
  Map<VmId, Long> of(TeamId team);

  /** Returns the part of a team's groups whose home has this floor, from 0 to 1. */
  static double homeFraction(TeamLimit limit, long floorUnits) {
    double all = FLOOR_FRACTION * limit.units();
    return all <= 0 ? 0 : Math.min(1, floorUnits / all);
  }

  /** Returns the floor, in units, of a proxy that is the home of some of the groups. */
  static long units(TeamLimit limit, int homeGroups, int groups) {
    return groups == 0 ? 0 : (long) (FLOOR_FRACTION * limit.units() * homeGroups / groups);
  }
}

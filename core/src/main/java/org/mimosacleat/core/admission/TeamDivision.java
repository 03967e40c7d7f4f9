package org.mimosacleat.core.admission;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.mimosacleat.core.id.VmId;

/** Divides the limit of one team among the proxies that report demand for it. Not thread-safe. */
final class TeamDivision {
  /** Every reporting proxy counts with at least 0.5 operations per second. */
  private static final long MIN_DEMAND = TeamLimit.UNIT_SECONDS / 2;

  /** A fifth of the demand is added as head room once all demands are met. */
  private static final long HEADROOM_DIVISOR = 5;

  /**
   * Up to an eighth of the limit stays undivided while it is not needed, so that a proxy whose
   * first operation waits for a grant gets one before the others have given up units.
   */
  private static final long SPARE_DIVISOR = 8;

  private final Map<VmId, HolderShare> shares = new HashMap<>();

  HolderShare share(VmId holder) {
    return shares.computeIfAbsent(holder, _ -> new HolderShare());
  }

  /** Returns the units that a reporting holder may use for one lifetime from now. */
  long unitsFor(VmId holder, long total, Map<VmId, Long> floors, Instant now) {
    shares.values().removeIf(share -> share.isForgettable(now));
    long free = total - reservedForOthers(holder, floors, now);
    return Math.clamp(free, 0, target(holder, total, floors, now));
  }

  private long reservedForOthers(VmId holder, Map<VmId, Long> floors, Instant now) {
    long reserved = 0;
    for (Map.Entry<VmId, HolderShare> entry : shares.entrySet()) {
      if (!entry.getKey().equals(holder)) {
        reserved += entry.getValue().reserved(now, floors.getOrDefault(entry.getKey(), 0L));
      }
    }
    for (Map.Entry<VmId, Long> floor : floors.entrySet()) {
      boolean unknown = !floor.getKey().equals(holder) && !shares.containsKey(floor.getKey());
      reserved += unknown ? floor.getValue() : 0;
    }
    return reserved;
  }

  /** Meets demands first, then adds head room, then divides what is left but a spare part. */
  private long target(VmId holder, long total, Map<VmId, Long> floors, Instant now) {
    Map<VmId, Long> demands = new HashMap<>();
    Map<VmId, Long> headrooms = new HashMap<>();
    long demanded = 0;
    for (Map.Entry<VmId, HolderShare> entry : shares.entrySet()) {
      if (entry.getValue().isReporting(now)) {
        long demand = Math.max(MIN_DEMAND, entry.getValue().demand());
        demands.put(entry.getKey(), demand);
        headrooms.put(entry.getKey(), demand / HEADROOM_DIVISOR);
        demanded += demand;
      }
    }
    long divisible = Math.max(0, total - floorsOfSilent(demands, floors));
    long met = Math.min(divisible, demanded);
    long beyond = divisible - met;
    long unneeded = Math.max(0, beyond - demanded / HEADROOM_DIVISOR);
    beyond -= Math.min(unneeded, total / SPARE_DIVISOR);
    return FairDivision.divide(met, demands).get(holder)
        + FairDivision.divide(beyond, headrooms).get(holder);
  }

  private static long floorsOfSilent(Map<VmId, Long> reporting, Map<VmId, Long> floors) {
    long silent = 0;
    for (Map.Entry<VmId, Long> floor : floors.entrySet()) {
      silent += reporting.containsKey(floor.getKey()) ? 0 : floor.getValue();
    }
    return silent;
  }
}

package org.mimosacleat.serving.limits;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.mimosacleat.core.admission.HomeFloors;
import org.mimosacleat.core.admission.Limits;
import org.mimosacleat.core.admission.TeamLimit;
import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.core.id.VmId;

/** The floors of all proxies; each team's are computed at most every 500 ms. Not thread-safe. */
final class CachedFloors implements HomeFloors {
  private static final Duration LIFETIME = Duration.ofMillis(500);

  private final InstantSource clock;
  private final Limits limits;
  private final TeamHomes homes;
  private final Supplier<Collection<VmId>> members;
  private final Map<TeamId, Computed> computed = new HashMap<>();

  CachedFloors(
      InstantSource clock, Limits limits, TeamHomes homes, Supplier<Collection<VmId>> members) {
    this.clock = clock;
    this.limits = limits;
    this.homes = homes;
    this.members = members;
  }

  @Override
  public Map<VmId, Long> of(TeamId team) {
    Instant now = clock.instant();
    Computed known = computed.get(team);
    if (known == null || !now.isBefore(known.at.plus(LIFETIME))) {
      known = new Computed(now, compute(team));
      computed.put(team, known);
    }
    return known.floors;
  }

  private Map<VmId, Long> compute(TeamId team) {
    Map<VmId, Long> floors = new HashMap<>();
    Optional<TeamLimit> limit = limits.of(team);
    if (limit.isEmpty()) {
      return floors;
    }
    for (VmId proxy : members.get()) {
      long units = HomeFloors.units(limit.get(), homes.homeGroups(proxy, team), homes.groups());
      if (units > 0) {
        floors.put(proxy, units);
      }
    }
    return floors;
  }

  private record Computed(Instant at, Map<VmId, Long> floors) {}
}

package org.mimosacleat.core.admission;

import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.core.id.VmId;

/**
 * Divides the limits of all teams among the proxies, according to the demand that they report.
 *
 * <p>At every instant the rates that the proxies may use for a team, by grants or by floors, sum up
 * to at most the team's rate. A grant counts until {@link GrantTimes#LIFETIME} after the answer, or
 * until its holder has confirmed a later one. The floor of a home is reserved unless the home has
 * confirmed a grant that is younger than that. Not thread-safe.
 */
public final class LimitCoordinator {
  /** Leaves room for a number of answers in each millisecond since the start. */
  private static final int ANSWER_BITS = 20;

  private final InstantSource clock;
  private final Instant grantsFrom;
  private final Limits limits;
  private final HomeFloors floors;
  private final Map<TeamId, TeamDivision> divisions = new HashMap<>();
  private final Map<VmId, LatestReport> latestReports = new HashMap<>();
  private long lastAnswer;

  /**
   * Creates a coordinator that knows no holder.
   *
   * @param grantsFrom the first instant at which no grant of a predecessor or of an earlier run is
   *     valid; see {@link GrantTimes#TAKEOVER_WAIT} and {@link GrantTimes#RESTART_WAIT}
   */
  public LimitCoordinator(
      InstantSource clock, Instant grantsFrom, Limits limits, HomeFloors floors) {
    this.clock = clock;
    this.grantsFrom = grantsFrom;
    this.limits = limits;
    this.floors = floors;
    this.lastAnswer = clock.millis() << ANSWER_BITS;
  }

  /**
   * Records a report and returns the answer. Returns empty while this coordinator may not grant,
   * and for a report that is older than the latest of the same holder.
   *
   * @param freshUntil until when this proxy's row is known to name it as the coordinator
   */
  public Optional<ShareGrants> handle(DemandReport report, Instant freshUntil) {
    Instant now = clock.instant();
    if (now.isBefore(grantsFrom) || !now.isBefore(freshUntil) || isOutdated(report, now)) {
      return Optional.empty();
    }
    latestReports.put(report.holder(), new LatestReport(report.sequence(), now));
    lastAnswer++;
    List<TeamGrant> grants = new ArrayList<>();
    for (TeamDemand demand : report.demands()) {
      limits.of(demand.team()).ifPresent(limit -> grants.add(grant(report, demand, limit, now)));
    }
    return Optional.of(new ShareGrants(lastAnswer, grants));
  }

  /** A holder that was silent for long may have restarted with an earlier clock. */
  private boolean isOutdated(DemandReport report, Instant now) {
    LatestReport latest = latestReports.get(report.holder());
    return latest != null
        && latest.sequence >= report.sequence()
        && now.isBefore(latest.at.plus(GrantTimes.FLOOR_DELAY));
  }

  private TeamGrant grant(DemandReport report, TeamDemand demand, TeamLimit limit, Instant now) {
    TeamId team = demand.team();
    TeamDivision division = divisions.computeIfAbsent(team, _ -> new TeamDivision());
    division.share(report.holder()).reported(now, demand.demand(), report.echo());
    long units = division.unitsFor(report.holder(), limit.units(), floors.of(team), now);
    division.share(report.holder()).commit(now, lastAnswer, units);
    return new TeamGrant(team, units, limit.burstOf(units));
  }

  private record LatestReport(long sequence, Instant at) {}
}

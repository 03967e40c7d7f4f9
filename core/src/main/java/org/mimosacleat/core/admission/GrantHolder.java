package org.mimosacleat.core.admission;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.ToLongBiFunction;
import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.core.id.VmId;

/**
 * The shares of the teams' limits that one proxy may use.
 *
 * <p>Send {@link #nextReport} to the coordinator and pass each answer to {@link #accept} with the
 * report and the instant just before it was sent. Thread-safe; admission is lock-free.
 */
public final class GrantHolder {
  /** How long a team counts as active after a request, so that pauses don't end its share. */
  private static final Duration ACTIVITY_TIME = Duration.ofSeconds(10);

  private final VmId self;
  private final InstantSource clock;
  private final Limits limits;
  private final ToLongBiFunction<TeamId, TeamLimit> floors;
  private final double tolerance;
  private final Map<TeamId, TeamShare> shares = new ConcurrentHashMap<>();
  private Optional<VmId> coordinator = Optional.empty();
  private long echo = DemandReport.NO_ECHO;
  private long sequence;
  private long acceptedSequence;

  /**
   * Creates a holder without grants.
   *
   * @param floors returns this proxy's floor for a team in units; see {@link HomeFloors#units}
   * @param tolerance operations above a limit that all homes of a team together may admit in a
   *     window; without it the homes of a small team hold less than one operation of its burst each
   */
  public GrantHolder(
      VmId self,
      InstantSource clock,
      Limits limits,
      ToLongBiFunction<TeamId, TeamLimit> floors,
      double tolerance) {
    this.self = self;
    this.clock = clock;
    this.limits = limits;
    this.floors = floors;
    this.tolerance = tolerance;
    this.sequence = clock.millis();
    this.acceptedSequence = sequence;
  }

  /** Counts a requested operation as demand; call this once for each operation. */
  public void recordDemand(TeamId team) {
    share(team).recordDemand();
  }

  /** Takes a token of the team; returns false if there is none. A team without limit always has. */
  public boolean tryAcquire(TeamId team) {
    Optional<TeamLimit> limit = limits.of(team);
    return limit.isEmpty() || share(team).tryAcquire(limit.get());
  }

  /**
   * Returns the next report to a coordinator about teams; teams without a limit are left out.
   *
   * @param teams the teams that this proxy serves or is a home of
   */
  public synchronized DemandReport nextReport(VmId to, Collection<TeamId> teams) {
    if (!coordinator.equals(Optional.of(to))) {
      coordinator = Optional.of(to);
      echo = DemandReport.NO_ECHO;
    }
    sequence++;
    List<TeamDemand> demands = new ArrayList<>();
    for (TeamId team : teams) {
      Optional<TeamLimit> limit = limits.of(team);
      if (limit.isPresent()) {
        TeamShare share = share(team);
        share.refresh(limit.get());
        demands.add(share.report(team));
      }
    }
    return new DemandReport(self, sequence, echo, demands);
  }

  /**
   * Applies the answer to a report; returns false if a later report has been answered already, or
   * the grants have ended on their way.
   *
   * @param sentAt an instant not later than the sending of the report
   */
  public synchronized boolean accept(
      VmId from, DemandReport report, ShareGrants answer, Instant sentAt) {
    Instant end = sentAt.plus(GrantTimes.LIFETIME);
    boolean outdated = report.sequence() <= acceptedSequence || !clock.instant().isBefore(end);
    if (outdated || !coordinator.equals(Optional.of(from))) {
      return false;
    }
    acceptedSequence = report.sequence();
    echo = answer.answer();
    for (TeamGrant grant : answer.grants()) {
      limits.of(grant.team()).ifPresent(limit -> share(grant.team()).granted(limit, grant, end));
    }
    return true;
  }

  /** Returns the teams that have recently requested operations here. */
  public Collection<TeamId> activeTeams() {
    Instant start = clock.instant().minus(ACTIVITY_TIME);
    List<TeamId> active = new ArrayList<>();
    shares.forEach(
        (team, share) -> {
          if (share.hasRequestsSince(start)) {
            active.add(team);
          }
        });
    return active;
  }

  /** Returns whether the next report should be sent early, for any team. */
  public boolean isReportDue() {
    return shares.values().stream().anyMatch(TeamShare::isReportDue);
  }

  /** Returns the units of a limited team that this proxy may use now. */
  public long units(TeamId team) {
    Optional<TeamLimit> limit = limits.of(team);
    return limit.isEmpty() ? 0 : share(team).units(limit.get());
  }

  /** Returns whether a grant of the team is valid. */
  public boolean hasGrant(TeamId team) {
    return share(team).hasGrant();
  }

  /** Returns when a token of the team will be there; empty if its share is zero. */
  public Optional<Duration> timeToNextToken(TeamId team) {
    return share(team).timeToNextToken();
  }

  private TeamShare share(TeamId team) {
    TeamShare known = shares.get(team);
    return known != null
        ? known
        : shares.computeIfAbsent(
            team, _ -> new TeamShare(clock, limit -> floors.applyAsLong(team, limit), tolerance));
  }
}

package org.mimosacleat.core.admission;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.function.ToLongFunction;
import org.mimosacleat.core.id.TeamId;

/**
 * One team's share at one proxy: the latest grant while it is valid, then the smaller of that grant
 * and the floor, and the floor from {@link GrantTimes#FLOOR_DELAY} after the receipt of the grant.
 * Thread-safe; admission takes no lock except at the instants when the share changes.
 */
final class TeamShare {
  /** Units that a holder gives up are free for others only once it has confirmed the new grant. */
  private static final double MUCH_LOWER_FACTOR = 0.75;

  private final InstantSource clock;
  private final DemandMeter demand;
  private final ToLongFunction<TeamLimit> floor;
  private final double tolerance;
  private long units;
  private double grantedBurst;
  private Instant grantEnd = Instant.MIN;
  private Instant floorStart = Instant.MIN;
  private volatile Instant nextChange = Instant.MIN;
  private volatile long heldUnits;
  private volatile RateLimiter limiter;
  private volatile boolean reportDue;
  private volatile Instant lastRequestAt = Instant.MIN;

  /**
   * Creates a share without a grant.
   *
   * @param floor returns the floor of this proxy in units
   * @param tolerance operations above the limit that all homes of a team together may admit in a
   *     window
   */
  TeamShare(InstantSource clock, ToLongFunction<TeamLimit> floor, double tolerance) {
    this.clock = clock;
    this.floor = floor;
    this.tolerance = tolerance;
    this.demand = new DemandMeter(clock.instant());
  }

  /** Counts a requested operation; {@link #tryAcquire} does not. */
  void recordDemand() {
    demand.record();
    lastRequestAt = clock.instant();
  }

  boolean hasRequestsSince(Instant start) {
    return !lastRequestAt.isBefore(start);
  }

  boolean tryAcquire(TeamLimit limit) {
    if (!clock.instant().isBefore(nextChange)) {
      refresh(limit);
    }
    RateLimiter current = limiter;
    boolean admitted = current != null && current.tryAcquire();
    if (!admitted) {
      reportDue = true;
    }
    return admitted;
  }

  synchronized void granted(TeamLimit limit, TeamGrant grant, Instant end) {
    Instant now = clock.instant();
    applyPassedChanges(limit, now);
    reportDue |= isMuchLower(grant.units());
    units = grant.units();
    grantedBurst = grant.burst();
    grantEnd = end;
    floorStart = now.plus(GrantTimes.FLOOR_DELAY);
    apply(limit, now, now);
  }

  /** Applies changes of the limit, of the floor and by time. */
  synchronized void refresh(TeamLimit limit) {
    Instant now = clock.instant();
    applyPassedChanges(limit, now);
    apply(limit, now, now);
  }

  /** Returns the demand for a report, and notes that it is no longer due. */
  TeamDemand report(TeamId team) {
    reportDue = false;
    return new TeamDemand(team, demand.units(clock.instant()), heldUnits);
  }

  long units(TeamLimit limit) {
    refresh(limit);
    return heldUnits;
  }

  /** Returns whether a report should not wait: demand exceeds the share, or much was given up. */
  boolean isReportDue() {
    return reportDue;
  }

  private boolean isMuchLower(long granted) {
    return granted < units * MUCH_LOWER_FACTOR && units - granted > TeamLimit.UNIT_SECONDS;
  }

  synchronized boolean hasGrant() {
    return clock.instant().isBefore(grantEnd);
  }

  Optional<Duration> timeToNextToken() {
    RateLimiter current = limiter;
    return current == null ? Optional.empty() : current.timeToNextToken();
  }

  private void applyPassedChanges(TeamLimit limit, Instant now) {
    while (limiter != null && !now.isBefore(nextChange)) {
      Instant change = nextChange;
      apply(limit, change, change);
    }
  }

  private void apply(TeamLimit limit, Instant from, Instant at) {
    boolean granted = at.isBefore(grantEnd);
    boolean floored = !granted && !at.isBefore(floorStart);
    long floorUnits = floor.applyAsLong(limit);
    long share = granted ? units : floored ? floorUnits : Math.min(units, floorUnits);
    share = Math.min(share, limit.units());
    nextChange = granted ? grantEnd : floored ? Instant.MAX : floorStart;
    heldUnits = share;
    double rate = (double) share / TeamLimit.UNIT_SECONDS;
    double burst = limit.burstOf(share);
    burst = granted ? Math.min(burst, grantedBurst) : burst;
    burst += tolerance * HomeFloors.homeFraction(limit, floorUnits);
    if (limiter != null) {
      limiter.setLimitFrom(from, rate, burst);
    } else if (share > 0) {
      // A floor starts with one second of tokens, so that a restarted fleet serves immediately.
      // With a grant, one token is enough: load that moves from proxy to proxy would multiply more.
      limiter = new RateLimiter(clock, rate, burst, floored ? Math.max(1, rate) : 1);
    }
  }
}

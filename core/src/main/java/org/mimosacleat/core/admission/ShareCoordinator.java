package org.mimosacleat.core.admission;

import java.time.Duration;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.mimosacleat.core.id.VmId;

/**
 * Divides one resource of one customer over the homes that serve the customer, by demand.
 *
 * <p>Tell it the homes with {@link #setHolders} and answer each report with {@link #report}. The
 * units that holders can hold never exceed the limit: a share is raised only by units that others
 * have reported to be without, and only while every holder is known to have sent a report within
 * {@link #REPORT_LIFETIME}, which its echo proves without comparing clocks. A coordinator that has
 * just taken over therefore leaves all shares as they are until it has heard from every holder. A
 * home may be left out of {@link #setHolders} only once its leases have lapsed, since then it
 * admits nothing. Not safe for several threads.
 */
public final class ShareCoordinator {
  /** How long a report is taken to describe its holder. */
  public static final Duration REPORT_LIFETIME = Duration.ofSeconds(3);

  private final VmId self;
  private final InstantSource clock;
  private final long createdAt;
  private final Map<VmId, Holding> holdings = new HashMap<>();
  private Set<VmId> holders = Set.of();
  private long limit;

  /** Starts with no holders. */
  public ShareCoordinator(VmId self, long limit, InstantSource clock) {
    this.self = self;
    this.limit = limit;
    this.clock = clock;
    this.createdAt = clock.millis();
  }

  /** Sets the limit; holders come down to a lower one with their next reports. */
  public void setLimit(long limit) {
    this.limit = limit;
  }

  /** Sets the homes that may hold a share. */
  public void setHolders(Set<VmId> holders) {
    this.holders = Set.copyOf(holders);
    holdings.keySet().retainAll(holders);
  }

  /** Takes in a report and returns the answer; an overtaken report or a stranger's gets none. */
  public Optional<ShareGrant> report(ShareReport report) {
    Holding earlier = holdings.get(report.holder());
    boolean overtaken = earlier != null && earlier.sequence >= report.sequence();
    if (overtaken || isStrange(report)) {
      return Optional.empty();
    }
    Holding holding = new Holding(report.sequence(), report.demand(), report.echo());
    holding.committed = report.held();
    holdings.put(report.holder(), holding);
    long units = decide(report);
    holding.committed = Math.max(report.held(), units);
    return Optional.of(answer(report, units));
  }

  private long decide(ShareReport report) {
    if (!allReportsFresh()) {
      return Math.min(report.held(), limit);
    }
    long target = target(report.holder());
    if (target <= report.held()) {
      return target;
    }
    long free = limit - committedToOthers(report.holder());
    return Math.max(Math.min(report.held(), target), Math.min(target, free));
  }

  private long committedToOthers(VmId holder) {
    long committed = 0;
    for (Map.Entry<VmId, Holding> entry : holdings.entrySet()) {
      committed += entry.getKey().equals(holder) ? 0 : entry.getValue().committed;
    }
    return committed;
  }

  /** Max-min fair by demand; what no one asks for is divided equally, for the next swing. */
  private long target(VmId holder) {
    Map<VmId, Long> demands = new HashMap<>();
    holders.forEach(each -> demands.put(each, holdings.get(each).demand));
    return FairDivision.divide(limit, demands).get(holder);
  }

  private boolean isStrange(ShareReport report) {
    return !report.coordinator().equals(self) || !holders.contains(report.holder());
  }

  private boolean allReportsFresh() {
    long oldest = Math.max(createdAt, clock.millis() - REPORT_LIFETIME.toMillis() + 1);
    return holders.stream()
        .allMatch(each -> holdings.containsKey(each) && holdings.get(each).echo >= oldest);
  }

  private ShareGrant answer(ShareReport report, long units) {
    return new ShareGrant(
        report.customer(),
        report.resource(),
        report.holder(),
        self,
        clock.millis(),
        report.sequence(),
        units);
  }

  private static final class Holding {
    final long sequence;
    final long demand;
    final long echo;
    long committed;

    Holding(long sequence, long demand, long echo) {
      this.sequence = sequence;
      this.demand = demand;
      this.echo = echo;
    }
  }
}

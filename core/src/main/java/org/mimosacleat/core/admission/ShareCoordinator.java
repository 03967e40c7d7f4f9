package org.mimosacleat.core.admission;

import java.time.Duration;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.mimosacleat.core.id.VmId;

/**
 * Divides the limit of one resource of one customer among the homes that serve the customer,
 * according to their demand.
 *
 * <p>Set the homes with {@link #setHolders} and pass each report to {@link #handleReport}. The sum
 * of all shares never exceeds the limit. A share is raised only by units that the other holders
 * have reported not to hold, and only while every holder has sent a report within {@link
 * #REPORT_LIFETIME}. The echo in a report proves this without comparing clocks. A new coordinator
 * therefore changes no share until it has received a report from every holder. A home may be
 * omitted from {@link #setHolders} only after its leases have expired, because from then on it
 * admits nothing. Not thread-safe.
 */
public final class ShareCoordinator {
  /** How long a report counts as the current state of its holder. */
  public static final Duration REPORT_LIFETIME = Duration.ofSeconds(3);

  private final VmId self;
  private final InstantSource clock;
  private final long createdAt;
  private final Map<VmId, HolderState> holderStates = new HashMap<>();
  private Set<VmId> holders = Set.of();
  private long limit;

  /** Creates a coordinator without holders. */
  public ShareCoordinator(VmId self, long limit, InstantSource clock) {
    this.self = self;
    this.limit = limit;
    this.clock = clock;
    this.createdAt = clock.millis();
  }

  /** Sets the limit; a lower limit takes effect with the answers to the holders' next reports. */
  public void setLimit(long limit) {
    this.limit = limit;
  }

  /** Sets the homes that may hold a share. */
  public void setHolders(Set<VmId> holders) {
    this.holders = Set.copyOf(holders);
    holderStates.keySet().retainAll(holders);
  }

  /**
   * Records a report and returns the answer; returns empty for an outdated report, for one that is
   * addressed to another coordinator, and for one from a home that is not a holder.
   */
  public Optional<ShareGrant> handleReport(ShareReport report) {
    HolderState previous = holderStates.get(report.holder());
    boolean outdated = previous != null && previous.sequence >= report.sequence();
    if (outdated || isForeign(report)) {
      return Optional.empty();
    }
    HolderState state = new HolderState(report.sequence(), report.demand(), report.echo());
    state.committed = report.held();
    holderStates.put(report.holder(), state);
    long units = decideUnits(report);
    state.committed = Math.max(report.held(), units);
    return Optional.of(grant(report, units));
  }

  private long decideUnits(ShareReport report) {
    if (!allReportsFresh()) {
      return Math.min(report.held(), limit);
    }
    long target = target(report.holder());
    if (target <= report.held()) {
      return target;
    }
    long free = limit - unitsOfOthers(report.holder());
    return Math.max(Math.min(report.held(), target), Math.min(target, free));
  }

  private long unitsOfOthers(VmId holder) {
    long committed = 0;
    for (Map.Entry<VmId, HolderState> entry : holderStates.entrySet()) {
      committed += entry.getKey().equals(holder) ? 0 : entry.getValue().committed;
    }
    return committed;
  }

  /**
   * Returns the holder's max-min fair share by demand. Units beyond all demands are divided
   * equally, so that every home has some spare for the next rise in demand.
   */
  private long target(VmId holder) {
    Map<VmId, Long> demands = new HashMap<>();
    holders.forEach(each -> demands.put(each, holderStates.get(each).demand));
    return FairDivision.divide(limit, demands).get(holder);
  }

  private boolean isForeign(ShareReport report) {
    return !report.coordinator().equals(self) || !holders.contains(report.holder());
  }

  private boolean allReportsFresh() {
    long oldestEcho = Math.max(createdAt, clock.millis() - REPORT_LIFETIME.toMillis() + 1);
    return holders.stream()
        .allMatch(
            each -> holderStates.containsKey(each) && holderStates.get(each).echo >= oldestEcho);
  }

  private ShareGrant grant(ShareReport report, long units) {
    return new ShareGrant(
        report.customer(),
        report.resource(),
        report.holder(),
        self,
        clock.millis(),
        report.sequence(),
        units);
  }

  private static final class HolderState {
    final long sequence;
    final long demand;
    final long echo;
    long committed;

    HolderState(long sequence, long demand, long echo) {
      this.sequence = sequence;
      this.demand = demand;
      this.echo = echo;
    }
  }
}

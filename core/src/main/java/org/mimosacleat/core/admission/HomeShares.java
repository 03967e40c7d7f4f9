package org.mimosacleat.core.admission;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.mimosacleat.core.id.CustomerId;
import org.mimosacleat.core.id.VmId;

/**
 * The shares that one home holds of its customers' allowances, kept in step with its gate.
 *
 * <p>Call {@link #reports} every {@link #REPORT_INTERVAL}, send each report to the coordinator of
 * its customer, and pass the answers to {@link #accept}. Not safe for several threads.
 */
public final class HomeShares {
  /** How often a home looks whether reports are due. */
  public static final Duration REPORT_INTERVAL = Duration.ofMillis(100);

  private static final long MILLISECONDS_PER_SECOND = 1000;

  private final VmId home;
  private final AdmissionGate gate;
  private final InstantSource clock;
  private final Map<CustomerId, Map<Resource, HomeShare>> holders = new HashMap<>();
  private Instant lastReports;

  /** Starts with no customers. */
  public HomeShares(VmId home, AdmissionGate gate, InstantSource clock) {
    this.home = home;
    this.gate = gate;
    this.clock = clock;
    this.lastReports = clock.instant();
  }

  /** Starts to hold shares for a customer; does nothing if it is known. */
  public void add(CustomerId customer) {
    if (holders.containsKey(customer)) {
      return;
    }
    Map<Resource, HomeShare> byResource = new EnumMap<>(Resource.class);
    for (Resource resource : Resource.values()) {
      byResource.put(resource, new HomeShare(new ShareHolder(customer, resource, home, clock)));
    }
    holders.put(customer, byResource);
  }

  /** Gives up all shares, since this VM's leases have lapsed or the lists changed. */
  public void clear() {
    holders.keySet().forEach(gate::remove);
    holders.clear();
  }

  /** Returns the reports that are due, to the coordinators of their customers. */
  public List<ShareReport> reports(Function<CustomerId, VmId> coordinatorOf) {
    Instant now = clock.instant();
    long elapsed = Math.max(1, Duration.between(lastReports, now).toMillis());
    lastReports = now;
    List<ShareReport> reports = new ArrayList<>();
    holders.forEach(
        (customer, byResource) -> {
          VmId coordinator = coordinatorOf.apply(customer);
          byResource.forEach(
              (resource, share) -> {
                long demand = demand(customer, resource, elapsed);
                share.report(coordinator, demand, now).ifPresent(reports::add);
              });
        });
    return reports;
  }

  /**
   * Applies an answer of a coordinator, if it answers the latest report.
   *
   * @return whether the share is as granted now
   */
  public boolean accept(ShareGrant grant) {
    Map<Resource, HomeShare> byResource = holders.get(grant.customer());
    boolean accepted = byResource != null && byResource.get(grant.resource()).accept(grant);
    if (accepted) {
      gate.setShare(grant.customer(), grant.resource(), grant.units());
    }
    return accepted;
  }

  private long demand(CustomerId customer, Resource resource, long elapsedMilliseconds) {
    long units = gate.takeDemand(customer, resource);
    return resource == Resource.STATEMENTS_PER_SECOND
        ? units * MILLISECONDS_PER_SECOND / elapsedMilliseconds
        : units;
  }
}

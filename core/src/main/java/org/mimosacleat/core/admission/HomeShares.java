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
import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.core.id.VmId;

/**
 * The shares of its customers' allowances that one home holds; accepted changes are applied to the
 * home's admission controller.
 *
 * <p>Call {@link #dueReports} every {@link #REPORT_INTERVAL}, send each report to the coordinator
 * of its customer, and pass the answers to {@link #accept}. Not thread-safe.
 */
public final class HomeShares {
  /** The interval at which a home checks whether reports are due. */
  public static final Duration REPORT_INTERVAL = Duration.ofMillis(100);

  private static final long MILLISECONDS_PER_SECOND = 1000;

  private final VmId home;
  private final AdmissionController admissionController;
  private final InstantSource clock;
  private final Map<TeamId, Map<Resource, HomeShare>> shares = new HashMap<>();
  private Instant lastReportsAt;

  /** Creates an instance without customers. */
  public HomeShares(VmId home, AdmissionController admissionController, InstantSource clock) {
    this.home = home;
    this.admissionController = admissionController;
    this.clock = clock;
    this.lastReportsAt = clock.instant();
  }

  /** Adds a customer with shares of zero; does nothing if the customer is already present. */
  public void add(TeamId customer) {
    if (shares.containsKey(customer)) {
      return;
    }
    Map<Resource, HomeShare> byResource = new EnumMap<>(Resource.class);
    for (Resource resource : Resource.values()) {
      byResource.put(resource, new HomeShare(new ShareHolder(customer, resource, home, clock)));
    }
    shares.put(customer, byResource);
  }

  /** Returns the reports that are due, addressed to the coordinators of their customers. */
  public List<ShareReport> dueReports(Function<TeamId, VmId> coordinatorOf) {
    Instant now = clock.instant();
    long elapsedMilliseconds = Math.max(1, Duration.between(lastReportsAt, now).toMillis());
    lastReportsAt = now;
    List<ShareReport> reports = new ArrayList<>();
    shares.forEach(
        (customer, byResource) -> {
          VmId coordinator = coordinatorOf.apply(customer);
          byResource.forEach(
              (resource, share) -> {
                long demand = demand(customer, resource, elapsedMilliseconds);
                share.reportIfDue(coordinator, demand, now).ifPresent(reports::add);
              });
        });
    return reports;
  }

  /**
   * Applies the answer of a coordinator if it belongs to the latest report.
   *
   * @return whether the granted share now applies
   */
  public boolean accept(ShareGrant grant) {
    Map<Resource, HomeShare> byResource = shares.get(grant.customer());
    boolean accepted = byResource != null && byResource.get(grant.resource()).accept(grant);
    if (accepted) {
      admissionController.setShare(grant.customer(), grant.resource(), grant.units());
    }
    return accepted;
  }

  private long demand(TeamId customer, Resource resource, long elapsedMilliseconds) {
    long units = admissionController.getAndResetDemand(customer, resource);
    return resource == Resource.STATEMENTS_PER_SECOND
        ? units * MILLISECONDS_PER_SECOND / elapsedMilliseconds
        : units;
  }
}

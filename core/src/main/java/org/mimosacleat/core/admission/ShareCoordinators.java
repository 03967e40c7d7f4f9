package org.mimosacleat.core.admission;

import java.time.InstantSource;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.core.id.VmId;

/**
 * The coordinators on one VM, for the customers that rendezvous hashing assigns to it.
 *
 * <p>Call {@link #setCustomer} for each such customer whenever its plan or the homes that serve it
 * change, {@link #remove} when the customer moves to another VM, and {@link #handleReport} for each
 * report that arrives. Not thread-safe.
 */
public final class ShareCoordinators {
  private final VmId self;
  private final InstantSource clock;
  private final Map<TeamId, Map<Resource, ShareCoordinator>> coordinators = new HashMap<>();

  /** Creates an instance without customers. */
  public ShareCoordinators(VmId self, InstantSource clock) {
    this.self = self;
    this.clock = clock;
  }

  /** Sets the plan of a customer and the homes that serve it. */
  public void setCustomer(TeamId customer, Allowance allowance, Set<VmId> homes) {
    Map<Resource, ShareCoordinator> byResource =
        coordinators.computeIfAbsent(customer, absent -> new EnumMap<>(Resource.class));
    for (Resource resource : Resource.values()) {
      ShareCoordinator coordinator =
          byResource.computeIfAbsent(resource, absent -> new ShareCoordinator(self, 0, clock));
      coordinator.setLimit(allowance.ceiling(resource));
      coordinator.setHolders(homes);
    }
  }

  /** Removes a customer that another VM now coordinates, or that no longer has a plan. */
  public void remove(TeamId customer) {
    coordinators.remove(customer);
  }

  /** Returns the answer to a report, or empty if this VM does not coordinate the customer. */
  public Optional<ShareGrant> handleReport(ShareReport report) {
    Map<Resource, ShareCoordinator> byResource = coordinators.get(report.customer());
    return Optional.ofNullable(byResource)
        .flatMap(found -> found.get(report.resource()).handleReport(report));
  }
}

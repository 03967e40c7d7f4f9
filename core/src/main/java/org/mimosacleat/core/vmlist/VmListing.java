package org.mimosacleat.core.vmlist;

import java.time.Instant;
import java.util.List;
import org.mimosacleat.core.check.Checks;

/**
 * The platform's list of VMs and endpoints at the time it was written.
 *
 * @param writtenAt when the platform wrote the list, by the platform's clock
 * @param vms the VMs of the fleet
 * @param endpoints the endpoints of all database groups
 */
public record VmListing(Instant writtenAt, List<VmRecord> vms, List<EndpointRecord> endpoints) {
  /** Validates the components. */
  public VmListing {
    Checks.notNull("time of writing", writtenAt);
    vms = List.copyOf(vms);
    endpoints = List.copyOf(endpoints);
  }
}

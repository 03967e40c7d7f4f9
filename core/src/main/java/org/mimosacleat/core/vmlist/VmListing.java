package org.mimosacleat.core.vmlist;

import java.time.Instant;
import java.util.List;
import org.mimosacleat.core.check.Checks;

/**
 * The platform's list at one moment.
 *
 * @param writtenAt when the platform wrote it, by the platform's clock
 * @param vms the VMs of the fleet
 * @param endpoints the endpoints of all database groups
 */
public record VmListing(Instant writtenAt, List<VmRecord> vms, List<EndpointRecord> endpoints) {
  /** Checks the parts. */
  public VmListing {
    Checks.notNull("time of writing", writtenAt);
    vms = List.copyOf(vms);
    endpoints = List.copyOf(endpoints);
  }
}

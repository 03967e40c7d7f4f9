package org.mimosacleat.core.vmlist;

import java.net.InetSocketAddress;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.Region;

/**
 * One endpoint, as the platform lists it.
 *
 * @param id the endpoint
 * @param group the database group that it belongs to
 * @param address where it takes database connections
 * @param zone where it runs
 * @param region the region of that availability zone
 * @param state whether it stays
 */
public record EndpointRecord(
    EndpointId id,
    GroupId group,
    InetSocketAddress address,
    AvailabilityZone zone,
    Region region,
    ListedState state) {
  /** Checks the parts. */
  public EndpointRecord {
    Checks.notNull("endpoint id", id);
    Checks.notNull("group id", group);
    Checks.notNull("address", address);
    Checks.notNull("availability zone", zone);
    Checks.notNull("region", region);
    Checks.notNull("state", state);
  }
}

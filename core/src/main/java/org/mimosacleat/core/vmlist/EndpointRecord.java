package org.mimosacleat.core.vmlist;

import java.net.InetSocketAddress;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.Region;

/**
 * An endpoint in the platform's list.
 *
 * @param id the endpoint
 * @param group the database group that it belongs to
 * @param address the address at which it accepts database connections
 * @param zone its availability zone
 * @param region the region of that availability zone
 * @param state whether it is live or about to be stopped
 */
public record EndpointRecord(
    EndpointId id,
    GroupId group,
    InetSocketAddress address,
    AvailabilityZone zone,
    Region region,
    ListedState state) {
  /** Validates the components. */
  public EndpointRecord {
    Checks.notNull("endpoint id", id);
    Checks.notNull("group id", group);
    Checks.notNull("address", address);
    Checks.notNull("availability zone", zone);
    Checks.notNull("region", region);
    Checks.notNull("state", state);
  }
}

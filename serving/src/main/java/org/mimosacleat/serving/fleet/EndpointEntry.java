package org.mimosacleat.serving.fleet;

import java.net.InetSocketAddress;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;

/**
 * What an endpoint says of itself in the list of endpoints.
 *
 * @param id the endpoint
 * @param group the group it belongs to
 * @param address where it listens
 * @param zone where it runs
 * @param slots how many statements it works on at once
 * @param draining whether it is about to leave
 * @param role what it takes itself for
 * @param startedAtMillis when it started, in milliseconds of its wall clock
 */
public record EndpointEntry(
    EndpointId id,
    GroupId group,
    InetSocketAddress address,
    AvailabilityZone zone,
    int slots,
    boolean draining,
    EndpointRole role,
    long startedAtMillis) {
  /** Checks the parts. */
  public EndpointEntry {
    Checks.notNull("endpoint id", id);
    Checks.notNull("group of " + id, group);
    Checks.notNull("address of " + id, address);
    Checks.positive("slots of " + id, slots);
  }

  /** Tells whether this is the same start of the same endpoint as {@code other}. */
  public boolean isSameStartAs(EndpointEntry other) {
    return id.equals(other.id)
        && address.equals(other.address)
        && startedAtMillis == other.startedAtMillis;
  }
}

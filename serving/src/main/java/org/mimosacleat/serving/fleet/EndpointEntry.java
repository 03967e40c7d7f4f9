package org.mimosacleat.serving.fleet;

import java.net.InetSocketAddress;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;

/**
 * An endpoint as it describes itself in the endpoint list.
 *
 * @param id the endpoint
 * @param group the group it belongs to
 * @param address the address that it listens on
 * @param zone the availability zone that it runs in
 * @param slots the number of statements that it executes concurrently
 * @param draining whether it is about to shut down
 * @param role the role that it assumes
 * @param startedAtMillis start time in milliseconds, by its own wall clock; zero if unknown
 * @param sequence grows with each entry that the endpoint writes between two starts; negative if
 *     unknown
 */
public record EndpointEntry(
    EndpointId id,
    GroupId group,
    InetSocketAddress address,
    AvailabilityZone zone,
    int slots,
    boolean draining,
    EndpointRole role,
    long startedAtMillis,
    long sequence) {
  /** Checks the required components. */
  public EndpointEntry {
    Checks.notNull("endpoint id", id);
    Checks.notNull("group of " + id, group);
    Checks.notNull("address of " + id, address);
    Checks.positive("slots of " + id, slots);
  }

  /** Written out, because the generated method is linked at run time, which delays the start. */
  @Override
  public boolean equals(Object other) {
    return other instanceof EndpointEntry that
        && id.equals(that.id)
        && group.equals(that.group)
        && address.equals(that.address)
        && zone.equals(that.zone)
        && slots == that.slots
        && draining == that.draining
        && role == that.role
        && startedAtMillis == that.startedAtMillis
        && sequence == that.sequence;
  }

  @Override
  public int hashCode() {
    return id.hashCode();
  }

  @Override
  public String toString() {
    return id
        + " of group "
        + group
        + " at "
        + address
        + " in "
        + zone
        + ", slots "
        + slots
        + ", draining "
        + draining
        + ", role "
        + role
        + ", started at "
        + startedAtMillis
        + ", sequence "
        + sequence;
  }

  /**
   * Returns whether the endpoint wrote this entry before another one. The store may bring an older
   * entry back, under a later version.
   */
  public boolean isOlderThan(EndpointEntry other) {
    return startedAtMillis > 0
        && isSameInstanceAs(other)
        && sequence >= 0
        && sequence < other.sequence;
  }

  /** Returns whether both entries describe the same endpoint since the same process start. */
  public boolean isSameInstanceAs(EndpointEntry other) {
    return id.equals(other.id)
        && address.equals(other.address)
        && startedAtMillis == other.startedAtMillis;
  }
}

package org.mimosacleat.lab.demo;

import java.util.List;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.standin.endpoint.EndpointSettings;

/**
 * The sizes of a deployment on this machine.
 *
 * @param zones the availability zones; proxies and endpoints are spread over them
 * @param proxies how many proxies run
 * @param groups the database groups
 * @param endpointsPerGroup endpoints of a group
 * @param endpoints sizes and delays of every endpoint
 * @param seed of every draw of the stand-ins
 */
public record FleetPlan(
    List<AvailabilityZone> zones,
    int proxies,
    List<GroupId> groups,
    int endpointsPerGroup,
    EndpointSettings endpoints,
    long seed) {
  /** Copies the lists. */
  public FleetPlan {
    zones = List.copyOf(zones);
    groups = List.copyOf(groups);
  }

  /** Two proxies and one group of three endpoints without any delay. */
  public static FleetPlan small(String group) {
    return new FleetPlan(
        List.of(
            new AvailabilityZone("tamaki"),
            new AvailabilityZone("kirikiriroa"),
            new AvailabilityZone("te-whanganui")),
        2,
        List.of(new GroupId(group)),
        3,
        EndpointSettings.defaults(),
        1);
  }

  /** Returns this plan with another number of proxies. */
  public FleetPlan withProxies(int count) {
    return new FleetPlan(zones, count, groups, endpointsPerGroup, endpoints, seed);
  }

  /** Returns this plan with other endpoints. */
  public FleetPlan withEndpoints(EndpointSettings settings) {
    return new FleetPlan(zones, proxies, groups, endpointsPerGroup, settings, seed);
  }

  /** Returns the availability zone of the VM or endpoint with this number. */
  AvailabilityZone zoneFor(int number) {
    return zones.get(number % zones.size());
  }
}

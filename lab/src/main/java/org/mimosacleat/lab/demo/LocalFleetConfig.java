package org.mimosacleat.lab.demo;

import java.util.List;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.standin.endpoint.EndpointSettings;

/**
 * The sizes and delays of a deployment on the local machine.
 *
 * @param zones the availability zones that proxies and endpoints are distributed over
 * @param proxies the number of proxies
 * @param groups the database groups
 * @param endpointsPerGroup the number of endpoints in each group
 * @param endpoints the sizes and delays of each endpoint
 * @param seed the seed of the random numbers of the stand-ins
 */
public record LocalFleetConfig(
    List<AvailabilityZone> zones,
    int proxies,
    List<GroupId> groups,
    int endpointsPerGroup,
    EndpointSettings endpoints,
    long seed) {
  /** Creates a configuration with copies of the lists. */
  public LocalFleetConfig {
    zones = List.copyOf(zones);
    groups = List.copyOf(groups);
  }

  /**
   * Returns a configuration of two proxies and one group of three endpoints without simulated
   * delays.
   */
  public static LocalFleetConfig small(String group) {
    return new LocalFleetConfig(
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

  /** Returns a copy of this configuration with this number of proxies. */
  public LocalFleetConfig withProxies(int count) {
    return new LocalFleetConfig(zones, count, groups, endpointsPerGroup, endpoints, seed);
  }

  /** Returns a copy of this configuration with these endpoint settings. */
  public LocalFleetConfig withEndpoints(EndpointSettings settings) {
    return new LocalFleetConfig(zones, proxies, groups, endpointsPerGroup, settings, seed);
  }

  /** Returns the availability zone of the VM with this number. */
  AvailabilityZone zoneFor(int number) {
    return zones.get(number % zones.size());
  }
}

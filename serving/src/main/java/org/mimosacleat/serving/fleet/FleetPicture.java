package org.mimosacleat.serving.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;

/**
 * An immutable snapshot of the fleet as known to this proxy.
 *
 * @param configuration the newest configuration; empty until the first one is received
 * @param endpoints the endpoints by id
 * @param groups the endpoints by group
 */
public record FleetPicture(
    Optional<Configuration> configuration,
    Map<EndpointId, EndpointEntry> endpoints,
    Map<GroupId, List<EndpointEntry>> groups) {
  /** The initial snapshot, without configuration and endpoints. */
  public static final FleetPicture EMPTY = new FleetPicture(Optional.empty(), Map.of(), Map.of());

  /** Returns a copy with another configuration. */
  FleetPicture with(Configuration newer) {
    return new FleetPicture(Optional.of(newer), endpoints, groups);
  }

  /** Returns a copy with an endpoint added or replaced. */
  FleetPicture with(EndpointEntry entry) {
    Map<EndpointId, EndpointEntry> changed = new HashMap<>(endpoints);
    changed.put(entry.id(), entry);
    return of(configuration, changed);
  }

  /** Returns a copy without an endpoint. */
  FleetPicture without(EndpointId removed) {
    Map<EndpointId, EndpointEntry> changed = new HashMap<>(endpoints);
    changed.remove(removed);
    return of(configuration, changed);
  }

  /** Returns the endpoints of a group; empty if the group is unknown. */
  public List<EndpointEntry> endpointsOf(GroupId group) {
    return groups.getOrDefault(group, List.of());
  }

  private static FleetPicture of(
      Optional<Configuration> configuration, Map<EndpointId, EndpointEntry> endpoints) {
    return new FleetPicture(
        configuration,
        Map.copyOf(endpoints),
        endpoints.values().stream().collect(Collectors.groupingBy(EndpointEntry::group)));
  }
}

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
public record FleetSnapshot(
    Optional<Configuration> configuration,
    Map<EndpointId, EndpointEntry> endpoints,
    Map<GroupId, List<EndpointEntry>> groups) {
  /** The initial snapshot, without configuration and endpoints. */
  public static final FleetSnapshot EMPTY = new FleetSnapshot(Optional.empty(), Map.of(), Map.of());

  /** Returns a copy with another configuration. */
  FleetSnapshot with(Configuration newer) {
    return new FleetSnapshot(Optional.of(newer), endpoints, groups);
  }

  /** Returns a copy with an endpoint added or replaced. */
  FleetSnapshot with(EndpointEntry entry) {
    Map<EndpointId, EndpointEntry> changed = new HashMap<>(endpoints);
    changed.put(entry.id(), entry);
    return of(configuration, changed);
  }

  /** Returns a copy without an endpoint. */
  FleetSnapshot without(EndpointId removed) {
    Map<EndpointId, EndpointEntry> changed = new HashMap<>(endpoints);
    changed.remove(removed);
    return of(configuration, changed);
  }

  /** Returns the endpoints of a group; empty if the group is unknown. */
  public List<EndpointEntry> endpointsOf(GroupId group) {
    return groups.getOrDefault(group, List.of());
  }

  private static FleetSnapshot of(
      Optional<Configuration> configuration, Map<EndpointId, EndpointEntry> endpoints) {
    return new FleetSnapshot(
        configuration,
        Map.copyOf(endpoints),
        endpoints.values().stream().collect(Collectors.groupingBy(EndpointEntry::group)));
  }
}

package org.mimosacleat.serving.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;

/**
 * All that this proxy knows of the fleet at one moment; immutable.
 *
 * @param configuration the newest configuration; empty until the first one came
 * @param endpoints by id
 * @param groups the endpoints of each group
 */
public record FleetPicture(
    Optional<Configuration> configuration,
    Map<EndpointId, EndpointEntry> endpoints,
    Map<GroupId, List<EndpointEntry>> groups) {
  /** Knows nothing yet. */
  public static final FleetPicture EMPTY = new FleetPicture(Optional.empty(), Map.of(), Map.of());

  /** Returns this picture with another configuration. */
  FleetPicture with(Configuration newer) {
    return new FleetPicture(Optional.of(newer), endpoints, groups);
  }

  /** Returns this picture with an endpoint added or replaced. */
  FleetPicture with(EndpointEntry entry) {
    Map<EndpointId, EndpointEntry> changed = new HashMap<>(endpoints);
    changed.put(entry.id(), entry);
    return of(configuration, changed);
  }

  /** Returns this picture without an endpoint. */
  FleetPicture without(EndpointId gone) {
    Map<EndpointId, EndpointEntry> changed = new HashMap<>(endpoints);
    changed.remove(gone);
    return of(configuration, changed);
  }

  /** Returns the endpoints of a group. */
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

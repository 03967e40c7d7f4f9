package org.mimosacleat.core.group;

import java.util.List;
import java.util.Optional;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.position.Term;

/**
 * The immutable state of a database group at one moment. New information is published as a new
 * snapshot; a request uses the snapshot that it started with.
 *
 * @param group the group
 * @param term the current term
 * @param primary the primary of that term, or empty while a promotion is in progress
 * @param endpoints all endpoints of the group, including the primary
 */
public record GroupSnapshot(
    GroupId group, Term term, Optional<EndpointId> primary, List<EndpointSnapshot> endpoints) {
  /** Checks the components. */
  public GroupSnapshot {
    Checks.notNull("group id", group);
    Checks.notNull("term", term);
    Checks.notNull("primary", primary);
    endpoints = List.copyOf(endpoints);
  }

  /** Returns the state of one endpoint. */
  public Optional<EndpointSnapshot> endpoint(EndpointId id) {
    return endpoints.stream().filter(endpoint -> endpoint.id().equals(id)).findFirst();
  }

  /** Returns the state of the primary, if the group has one. */
  public Optional<EndpointSnapshot> primarySnapshot() {
    return primary.flatMap(this::endpoint);
  }

  /** Returns the endpoints that are not the primary. */
  public List<EndpointSnapshot> replicas() {
    return endpoints.stream().filter(endpoint -> !isPrimary(endpoint.id())).toList();
  }

  /** Returns whether {@code id} is the primary of the current term. */
  public boolean isPrimary(EndpointId id) {
    return primary.filter(id::equals).isPresent();
  }
}

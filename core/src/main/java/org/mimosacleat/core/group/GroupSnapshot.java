package org.mimosacleat.core.group;

import java.util.List;
import java.util.Optional;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.position.Term;

/**
 * The state of a database group at one moment. It is never changed: whoever learns something new
 * publishes a new snapshot, and a request keeps the one that it started with.
 *
 * @param group the group
 * @param term the current term
 * @param primary the primary of that term, or empty while a promotion is under way
 * @param endpoints all endpoints of the group, the primary among them
 */
public record GroupSnapshot(
    GroupId group, Term term, Optional<EndpointId> primary, List<EndpointView> endpoints) {
  /** Checks the parts. */
  public GroupSnapshot {
    Checks.notNull("group id", group);
    Checks.notNull("term", term);
    Checks.notNull("primary", primary);
    endpoints = List.copyOf(endpoints);
  }

  /** Returns the view of one endpoint. */
  public Optional<EndpointView> endpoint(EndpointId id) {
    return endpoints.stream().filter(view -> view.id().equals(id)).findFirst();
  }

  /** Returns the view of the primary, if the group has one. */
  public Optional<EndpointView> primaryView() {
    return primary.flatMap(this::endpoint);
  }

  /** Returns the endpoints that are not the primary. */
  public List<EndpointView> replicas() {
    return endpoints.stream().filter(view -> !isPrimary(view.id())).toList();
  }

  /** Tells whether {@code id} is the primary of the current term. */
  public boolean isPrimary(EndpointId id) {
    return primary.filter(id::equals).isPresent();
  }
}

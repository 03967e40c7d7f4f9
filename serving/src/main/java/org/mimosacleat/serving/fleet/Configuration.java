package org.mimosacleat.serving.fleet;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.mimosacleat.core.id.GroupId;

/**
 * One version of what the operators have configured.
 *
 * @param version grows with every change, in uneven steps
 * @param routes by database
 * @param groups by name
 * @param transactionIdleLimit how long a transaction may rest between two statements
 */
public record Configuration(
    long version,
    Map<DatabaseName, Route> routes,
    Map<GroupId, GroupSettings> groups,
    Duration transactionIdleLimit) {
  /** Copies the maps. */
  public Configuration {
    routes = Map.copyOf(routes);
    groups = Map.copyOf(groups);
  }

  /** Returns the route for a database. */
  public Optional<Route> route(DatabaseName database) {
    return Optional.ofNullable(routes.get(database));
  }
}

package org.mimosacleat.serving.fleet;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.GroupId;

/**
 * One version of the configuration set by the operators.
 *
 * @param version grows with every change, not necessarily by one
 * @param routes the routes by database
 * @param groups the settings by group
 * @param transactionIdleLimit how long a transaction may be idle between two statements
 * @param teams the teams, and which of them a key belongs to
 */
public record Configuration(
    long version,
    Map<DatabaseName, Route> routes,
    Map<GroupId, GroupSettings> groups,
    Duration transactionIdleLimit,
    Teams teams) {
  /** Creates a configuration with immutable copies of the maps. */
  public Configuration {
    routes = Map.copyOf(routes);
    groups = Map.copyOf(groups);
    Checks.notNull("teams", teams);
  }

  /** Creates a configuration without teams. */
  public Configuration(
      long version,
      Map<DatabaseName, Route> routes,
      Map<GroupId, GroupSettings> groups,
      Duration transactionIdleLimit) {
    this(version, routes, groups, transactionIdleLimit, Teams.NOT_CONFIGURED);
  }

  /** Returns the route of a database, if one is configured. */
  public Optional<Route> route(DatabaseName database) {
    return Optional.ofNullable(routes.get(database));
  }
}

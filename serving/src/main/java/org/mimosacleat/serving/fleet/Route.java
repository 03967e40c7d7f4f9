package org.mimosacleat.serving.fleet;

import java.time.Duration;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.GroupId;

/**
 * The group that serves the statements of one database, and how they are handled.
 *
 * @param database the database that clients request
 * @param group the group of endpoints that stores it
 * @param readConsistency the required read consistency
 * @param statementTimeout the maximum duration of one statement
 * @param latencyObjective the latency objective of an operation
 * @param priority the priority; zero is the highest
 * @param openToAll whether callers without a known key may use the route where there are teams
 */
public record Route(
    DatabaseName database,
    GroupId group,
    ReadConsistency readConsistency,
    Duration statementTimeout,
    Duration latencyObjective,
    int priority,
    boolean openToAll) {
  /** Checks the required components. */
  public Route {
    Checks.notNull("database", database);
    Checks.notNull("group", group);
    Checks.notNull("read consistency", readConsistency);
    Checks.positive("statement timeout in milliseconds", statementTimeout.toMillis());
  }

  /** Creates a route that requires a key where there are teams. */
  public Route(
      DatabaseName database,
      GroupId group,
      ReadConsistency readConsistency,
      Duration statementTimeout,
      Duration latencyObjective,
      int priority) {
    this(database, group, readConsistency, statementTimeout, latencyObjective, priority, false);
  }
}

package org.mimosacleat.serving.fleet;

import java.time.Duration;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.GroupId;

/**
 * Where the statements for one database go, and how.
 *
 * @param database the database that clients name
 * @param group the group of endpoints that has it
 * @param promise what reads may miss
 * @param statementTimeout the longest that one statement may take
 * @param objective how fast an operation should be
 * @param priority zero is the highest
 */
public record Route(
    DatabaseName database,
    GroupId group,
    ReadPromise promise,
    Duration statementTimeout,
    Duration objective,
    int priority) {
  /** Checks the parts. */
  public Route {
    Checks.notNull("database", database);
    Checks.notNull("group", group);
    Checks.notNull("read promise", promise);
    Checks.positive("statement timeout in milliseconds", statementTimeout.toMillis());
  }
}

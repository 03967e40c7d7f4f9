package org.mimosacleat.serving.fleet;

import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.GroupId;

/**
 * The settings of one group.
 *
 * @param group the group
 * @param maximumConnections the maximum number of connections to each endpoint, from all proxies
 *     together
 * @param synchronousReplicas the number of replicas that must have a commit before it is
 *     acknowledged
 */
public record GroupSettings(GroupId group, int maximumConnections, int synchronousReplicas) {
  /** Checks the group and the connection limit. */
  public GroupSettings {
    Checks.notNull("group", group);
    Checks.positive("maximum connections of " + group, maximumConnections);
  }
}

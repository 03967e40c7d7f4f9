package org.mimosacleat.serving.fleet;

import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.GroupId;

/**
 * What the operators say of one group.
 *
 * @param group the group
 * @param maximumConnections the most connections that each endpoint takes from all callers
 * @param synchronousReplicas how many replicas have a commit before it is acknowledged
 */
public record GroupSettings(GroupId group, int maximumConnections, int synchronousReplicas) {
  /** Checks the numbers. */
  public GroupSettings {
    Checks.notNull("group", group);
    Checks.positive("maximum connections of " + group, maximumConnections);
  }
}

package org.mimosacleat.serving.routing;

import org.mimosacleat.core.id.GroupId;

/** Is told of changes in a group. */
@FunctionalInterface
public interface GroupListener {
  /** Tells that an endpoint of the group has come, changed or gone; must return at once. */
  void endpointsChanged(GroupId group);
}

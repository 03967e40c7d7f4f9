package org.mimosacleat.serving.routing;

import org.mimosacleat.core.id.GroupId;

/** Listens for changes in a group. */
@FunctionalInterface
public interface GroupListener {
  /** Called when an endpoint of the group was added, changed or removed; must not block. */
  void endpointsChanged(GroupId group);
}

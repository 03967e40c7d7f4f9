package org.mimosacleat.serving.routing;

import java.util.concurrent.ConcurrentHashMap;
import org.mimosacleat.core.id.GroupId;

/** The views of all groups. */
public final class GroupViews {
  private final ConcurrentHashMap<GroupId, GroupView> views = new ConcurrentHashMap<>();

  /** Returns the view of a group; a group that was not known has one without a primary. */
  public GroupView of(GroupId group) {
    return views.computeIfAbsent(group, _ -> new GroupView());
  }
}

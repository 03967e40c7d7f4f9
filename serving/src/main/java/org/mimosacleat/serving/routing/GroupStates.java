package org.mimosacleat.serving.routing;

import java.util.concurrent.ConcurrentHashMap;
import org.mimosacleat.core.id.GroupId;

/** The states of all groups. */
public final class GroupStates {
  private final ConcurrentHashMap<GroupId, GroupState> states = new ConcurrentHashMap<>();

  /** Returns the state of a group; a group not known before has no primary. */
  public GroupState of(GroupId group) {
    return states.computeIfAbsent(group, _ -> new GroupState());
  }
}

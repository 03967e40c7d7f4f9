package org.mimosacleat.serving.routing;

import java.time.InstantSource;
import java.util.concurrent.ConcurrentHashMap;
import org.mimosacleat.core.id.GroupId;

/** The states of all groups. */
public final class GroupStates {
  private final ConcurrentHashMap<GroupId, GroupState> states = new ConcurrentHashMap<>();
  private final InstantSource clock;

  /** Creates an instance that knows no group; the clock tells how long a primary is away. */
  public GroupStates(InstantSource clock) {
    this.clock = clock;
  }

  /** Returns the state of a group; a group not known before has no primary. */
  public GroupState of(GroupId group) {
    return states.computeIfAbsent(group, _ -> new GroupState(clock));
  }
}

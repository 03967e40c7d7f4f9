package org.mimosacleat.serving.promotion;

import java.util.concurrent.ConcurrentHashMap;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.serving.routing.GroupListener;
import org.mimosacleat.serving.routing.PrimaryDoubt;

/** The guards of all groups that have endpoints. */
public final class PrimaryGuards implements PrimaryDoubt, GroupListener {
  private final GuardParts parts;
  private final ConcurrentHashMap<GroupId, GroupGuard> guards = new ConcurrentHashMap<>();

  /** Makes guards that are started as groups become known. */
  public PrimaryGuards(GuardParts parts) {
    this.parts = parts;
  }

  /** Lets the guard of a group look at a record that has changed. */
  public void recordChanged(GroupId group) {
    guard(group).wake();
  }

  @Override
  public void endpointsChanged(GroupId group) {
    guard(group).wake();
  }

  @Override
  public void doubt(GroupId group, EndpointId primary, String reason) {
    guard(group).doubt(reason);
  }

  private GroupGuard guard(GroupId group) {
    return guards.computeIfAbsent(group, this::start);
  }

  private GroupGuard start(GroupId group) {
    GroupGuard guard = new GroupGuard(group, parts);
    parts.executor().execute(guard);
    return guard;
  }
}

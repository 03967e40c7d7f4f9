package org.mimosacleat.proxy.dispatch;

import java.util.Optional;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;

/** Knows which proxy is home of a group. */
@FunctionalInterface
public interface HomeLocator {
  /** Returns the home, or empty if the group is not known or has no home now. */
  Optional<VmId> homeOf(GroupId group);
}

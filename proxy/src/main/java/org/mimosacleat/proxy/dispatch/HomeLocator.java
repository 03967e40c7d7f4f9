package org.mimosacleat.proxy.dispatch;

import java.util.List;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;

/** Knows which proxies may be home of a group. */
@FunctionalInterface
public interface HomeLocator {
  /** Returns the VMs that may be the home, the most likely first; empty if the group is unknown. */
  List<VmId> likelyHomes(GroupId group);
}

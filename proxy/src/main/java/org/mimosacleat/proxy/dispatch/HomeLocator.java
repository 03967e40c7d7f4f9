package org.mimosacleat.proxy.dispatch;

import java.util.List;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;

/** Locates the home of a group. */
@FunctionalInterface
public interface HomeLocator {
  /** Returns the VMs that may be the home, most likely first; empty if the group is unknown. */
  List<VmId> likelyHomes(GroupId group);
}

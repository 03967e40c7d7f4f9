package org.mimosacleat.proxy.fleet;

import java.util.List;
import org.mimosacleat.core.membership.ListedVm;

/** Lists the VMs of the fleet from sources outside the fleet's own membership protocol. */
public interface VmSource {
  /** Returns the VMs that are known from the settings, without any request. */
  List<ListedVm> seeds();

  /** Returns all known VMs; may block while it queries the platform. */
  List<ListedVm> list();
}

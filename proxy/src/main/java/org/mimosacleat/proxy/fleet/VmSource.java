package org.mimosacleat.proxy.fleet;

import java.util.List;
import org.mimosacleat.core.membership.ListedVm;

/** Lists the VMs of the fleet, as far as is known outside of it. */
public interface VmSource {
  /** Returns the VMs that are known without asking anybody. */
  List<ListedVm> seeds();

  /** Returns the VMs; it may wait for the platform. */
  List<ListedVm> list();
}

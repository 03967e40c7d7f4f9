package org.mimosacleat.core.membership;

import java.util.Set;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.VmId;

/** An action that a {@link HomeMonitor} requests. */
public sealed interface HomeMonitorAction {
  /**
   * Ask the other monitors of the home for the time since its last message.
   *
   * @param home the monitored home
   */
  record QueryMonitors(VmId home) implements HomeMonitorAction {}

  /**
   * The home has failed: take over as home, or leave this to the first candidate.
   *
   * @param home the lost home
   * @param zones the zones whose monitors receive no messages from it
   */
  record HomeLost(VmId home, Set<AvailabilityZone> zones) implements HomeMonitorAction {}
}

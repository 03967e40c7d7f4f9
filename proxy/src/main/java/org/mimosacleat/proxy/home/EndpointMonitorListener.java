package org.mimosacleat.proxy.home;

import org.mimosacleat.core.id.EndpointId;

/** Takes in what watchers see; called from their threads. */
interface EndpointMonitorListener {
  /** The endpoint answered. */
  void pollAnswered(EndpointStatus status);

  /** The endpoint did not answer in time, or not sensibly. */
  void pollFailed(EndpointId endpoint, String reason);
}

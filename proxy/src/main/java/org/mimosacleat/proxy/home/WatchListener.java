package org.mimosacleat.proxy.home;

import org.mimosacleat.core.id.EndpointId;

/** Takes in what watchers see; called from their threads. */
interface WatchListener {
  /** The endpoint answered. */
  void answered(EndpointStatus status);

  /** The endpoint did not answer in time, or not sensibly. */
  void failed(EndpointId endpoint, String reason);
}

package org.mimosacleat.proxy.home;

import org.mimosacleat.core.id.EndpointId;

/** Receives the results of endpoint monitors; called on their threads. */
interface EndpointMonitorListener {
  /** Called when the endpoint has answered a poll. */
  void pollAnswered(EndpointStatus status);

  /** Called when the endpoint did not answer in time, or its answer was invalid. */
  void pollFailed(EndpointId endpoint, String reason);
}

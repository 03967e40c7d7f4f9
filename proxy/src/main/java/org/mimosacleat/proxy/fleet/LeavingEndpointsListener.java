package org.mimosacleat.proxy.fleet;

import java.time.Instant;
import java.util.Set;
import org.mimosacleat.core.id.EndpointId;

/** Receives the endpoints that the platform lists as leaving. */
@FunctionalInterface
public interface LeavingEndpointsListener {
  /**
   * Handles one read of the platform's VM list.
   *
   * @param requestedAt when the list was requested
   * @param leaving all endpoints that the list has as leaving
   */
  void onLeavingEndpoints(Instant requestedAt, Set<EndpointId> leaving);
}

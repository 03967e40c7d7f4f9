package org.mimosacleat.core.routing;

import java.time.Duration;
import org.mimosacleat.core.id.EndpointId;

/** Provides the current load of each endpoint to the router. */
@FunctionalInterface
public interface EndpointLoads {
  /** Returns the estimated time that a statement would wait for a slot of the endpoint. */
  Duration expectedWait(EndpointId endpoint);
}

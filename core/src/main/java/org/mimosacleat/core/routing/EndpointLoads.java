package org.mimosacleat.core.routing;

import java.time.Duration;
import org.mimosacleat.core.id.EndpointId;

/** Tells the router how busy each endpoint is. */
@FunctionalInterface
public interface EndpointLoads {
  /** Returns how long a statement would wait for a slot of the endpoint, as far as is known. */
  Duration expectedWait(EndpointId endpoint);
}

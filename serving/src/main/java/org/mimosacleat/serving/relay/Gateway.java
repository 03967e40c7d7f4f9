package org.mimosacleat.serving.relay;

import java.util.Optional;

/** Another proxy that runs statements for this one on its connections to endpoints. */
@FunctionalInterface
public interface Gateway {
  /** Returns the connection to the proxy; empty if there is none that takes new work. */
  Optional<GatewayConnection> connection();
}

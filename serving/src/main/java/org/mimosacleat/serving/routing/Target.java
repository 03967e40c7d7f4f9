package org.mimosacleat.serving.routing;

import java.util.Optional;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.serving.endpoint.EndpointPool;

/** Where a statement goes. */
public sealed interface Target {
  /**
   * To the primary, which must still lead when the statement runs.
   *
   * @param pool the primary's connections
   */
  record Primary(EndpointPool pool) implements Target {}

  /**
   * To any endpoint whose log includes a position.
   *
   * @param pool the endpoint's connections
   * @param after the position
   */
  record Fresh(EndpointPool pool, Position after) implements Target {}

  /** Nowhere now: no endpoint can be used. */
  record None() implements Target {}

  /** Returns the connections to use. */
  default Optional<EndpointPool> usedPool() {
    return switch (this) {
      case Primary primary -> Optional.of(primary.pool());
      case Fresh fresh -> Optional.of(fresh.pool());
      case None none -> Optional.empty();
    };
  }
}

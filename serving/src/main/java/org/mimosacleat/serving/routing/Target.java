package org.mimosacleat.serving.routing;

import java.util.Optional;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.serving.endpoint.EndpointPool;

/** The endpoint that a statement is sent to. */
public sealed interface Target {
  /**
   * The primary, which must still be primary when the statement runs.
   *
   * @param pool the primary's connections
   */
  record Primary(EndpointPool pool) implements Target {}

  /**
   * Any endpoint whose log includes a position.
   *
   * @param pool the endpoint's connections
   * @param after the position
   */
  record AfterPosition(EndpointPool pool, Position after) implements Target {}

  /** No endpoint can be used now, but one is expected to be usable soon. */
  record None() implements Target {}

  /** No endpoint can be used, and a statement can't wait for the end of that. */
  record Unavailable() implements Target {}

  /** Returns the pool of the target; empty if there is no target. */
  default Optional<EndpointPool> usedPool() {
    return switch (this) {
      case Primary primary -> Optional.of(primary.pool());
      case AfterPosition target -> Optional.of(target.pool());
      case None none -> Optional.empty();
      case Unavailable unavailable -> Optional.empty();
    };
  }
}

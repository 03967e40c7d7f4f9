package org.mimosacleat.core.drain;

import org.mimosacleat.core.id.EndpointId;

/** An action requested by an {@link EndpointDrain}. */
public sealed interface EndpointDrainAction {
  /**
   * Close the idle connections, and each busy one when its work has ended. If the endpoint is the
   * primary, start a planned promotion.
   *
   * @param endpoint the leaving endpoint
   */
  record CloseIdle(EndpointId endpoint) implements EndpointDrainAction {}

  /**
   * No work is in flight on the endpoint any more; log this.
   *
   * @param endpoint the leaving endpoint
   */
  record Drained(EndpointId endpoint) implements EndpointDrainAction {}

  /**
   * The endpoint is no longer leaving; use it again.
   *
   * @param endpoint the endpoint that stays
   */
  record Resume(EndpointId endpoint) implements EndpointDrainAction {}
}

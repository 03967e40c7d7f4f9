package org.mimosacleat.core.drain;

import org.mimosacleat.core.id.EndpointId;

/** What an {@link EndpointDrain} asks for. */
public sealed interface EndpointDrainAction {
  /**
   * Close the idle connections, and each busy one when its work ends. If the endpoint is the
   * primary, start a planned promotion.
   *
   * @param endpoint the leaving endpoint
   */
  record CloseIdle(EndpointId endpoint) implements EndpointDrainAction {}

  /**
   * Nothing is in flight on the endpoint any more; log it.
   *
   * @param endpoint the leaving endpoint
   */
  record Empty(EndpointId endpoint) implements EndpointDrainAction {}

  /**
   * The endpoint is not leaving after all; use it again.
   *
   * @param endpoint the endpoint
   */
  record Resume(EndpointId endpoint) implements EndpointDrainAction {}
}

package org.mimosacleat.core.drain;

import java.time.Instant;
import java.util.Set;
import org.mimosacleat.core.id.EndpointId;

/** What an {@link EndpointDrain} is told. */
public sealed interface EndpointDrainInput {
  /**
   * The platform's list was read.
   *
   * @param leaving the endpoints of the group that the list gives as leaving
   * @param askedAt when the question was sent; an answer that was overtaken is ignored
   */
  record Listed(Set<EndpointId> leaving, Instant askedAt) implements EndpointDrainInput {}

  /**
   * A transaction or a statement outside one started.
   *
   * @param endpoint where
   */
  record Started(EndpointId endpoint) implements EndpointDrainInput {}

  /**
   * A transaction or a statement outside one ended.
   *
   * @param endpoint where
   */
  record Finished(EndpointId endpoint) implements EndpointDrainInput {}
}

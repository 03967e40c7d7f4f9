package org.mimosacleat.core.drain;

import java.time.Instant;
import java.util.Set;
import org.mimosacleat.core.id.EndpointId;

/** An input event of an {@link EndpointDrain}. */
public sealed interface EndpointDrainInput {
  /**
   * The platform's list of leaving endpoints was read.
   *
   * @param leaving the endpoints of the group that are leaving according to the list
   * @param askedAt when the request was sent; an answer to an earlier request than that of the last
   *     applied answer is ignored
   */
  record ListRead(Set<EndpointId> leaving, Instant askedAt) implements EndpointDrainInput {}

  /**
   * A transaction, or a statement outside a transaction, has started.
   *
   * @param endpoint the endpoint on which it runs
   */
  record Started(EndpointId endpoint) implements EndpointDrainInput {}

  /**
   * A transaction, or a statement outside a transaction, has ended.
   *
   * @param endpoint the endpoint on which it ran
   */
  record Finished(EndpointId endpoint) implements EndpointDrainInput {}
}

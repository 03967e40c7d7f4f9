package org.mimosacleat.core.routing;

import java.time.Instant;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.position.Position;

/** The routing decision for a statement. After a wait the home calls the router again. */
public sealed interface RouteDecision {
  /** Run the statement on the primary. */
  record ToPrimary(EndpointId endpoint) implements RouteDecision {}

  /** Run the statement on a replica that is proven to be fresh enough. */
  record ToReplica(EndpointId endpoint) implements RouteDecision {}

  /**
   * Poll the replica now, and route again when it has replayed the position or the wait expires.
   *
   * @param endpoint the replica that is expected to catch up first
   * @param requiredPosition the position that the replica must have replayed
   * @param until the end of the wait
   */
  record AwaitReplica(EndpointId endpoint, Position requiredPosition, Instant until)
      implements RouteDecision {}

  /** Wait for a primary, and route again when one is announced or the wait expires. */
  record AwaitPrimary(Instant until) implements RouteDecision {}

  /** Answer the client with the failure; nothing was sent. */
  record Refuse(Failure failure) implements RouteDecision {}
}

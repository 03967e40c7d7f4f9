package org.mimosacleat.core.routing;

import java.time.Instant;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.position.Position;

/** What to do with a statement. After a wait the home asks the router again. */
public sealed interface RouteDecision {
  /** Run it on the primary. */
  record ToPrimary(EndpointId endpoint) implements RouteDecision {}

  /** Run it on a replica that is proven fresh enough. */
  record ToReplica(EndpointId endpoint) implements RouteDecision {}

  /**
   * Poll the replica now, and route again when it has replayed the position or the time is up.
   *
   * @param endpoint the replica that is expected to be fresh enough first
   * @param requiredPosition the position that it has to replay
   * @param until when to route again at the latest
   */
  record AwaitReplica(EndpointId endpoint, Position requiredPosition, Instant until)
      implements RouteDecision {}

  /** Wait for a primary, and route again when one is announced or the time is up. */
  record AwaitPrimary(Instant until) implements RouteDecision {}

  /** Answer the caller with the failure; nothing was sent. */
  record Refuse(Failure failure) implements RouteDecision {}
}

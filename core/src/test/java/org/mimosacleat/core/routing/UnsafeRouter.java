package org.mimosacleat.core.routing;

import java.util.List;
import java.util.function.BiPredicate;
import org.mimosacleat.core.group.EndpointSnapshot;

/** A faulty router that accepts replicas without a freshness proof. The oracle must detect it. */
final class UnsafeRouter implements Router {
  /** Accepts any replica. */
  static final BiPredicate<EndpointSnapshot, RouteRequest> ANY_REPLICA =
      (endpoint, request) -> true;

  /** Compares the log position and ignores the term. */
  static final BiPredicate<EndpointSnapshot, RouteRequest> IGNORES_TERM =
      (endpoint, request) ->
          request.freshness() instanceof Freshness.ReadYourWrites own
              && own.required()
                  .filter(needed -> endpoint.replayed().log().compareTo(needed.log()) >= 0)
                  .isPresent();

  private final Router delegate;
  private final BiPredicate<EndpointSnapshot, RouteRequest> replicaFilter;

  UnsafeRouter(Router delegate, BiPredicate<EndpointSnapshot, RouteRequest> replicaFilter) {
    this.delegate = delegate;
    this.replicaFilter = replicaFilter;
  }

  @Override
  public RouteDecision route(RouteRequest request, GroupRoutingState state) {
    List<EndpointSnapshot> accepted =
        state.snapshot().replicas().stream()
            .filter(replica -> request.isReplicaAllowed() && replicaFilter.test(replica, request))
            .toList();
    return accepted.isEmpty()
        ? delegate.route(request, state)
        : new RouteDecision.ToReplica(accepted.getFirst().id());
  }
}

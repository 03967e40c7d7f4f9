package org.mimosacleat.core.routing;

import java.util.List;
import java.util.function.BiPredicate;
import org.mimosacleat.core.group.EndpointView;

/** A wrong router: it asks less of a replica than a proof. The oracles have to catch it. */
final class UnsafeRouter implements Router {
  /** Any live replica will do. */
  static final BiPredicate<EndpointView, RouteRequest> ANY_REPLICA = (view, request) -> true;

  /** Compares the log position and forgets the term. */
  static final BiPredicate<EndpointView, RouteRequest> IGNORES_TERM =
      (view, request) ->
          request.freshness() instanceof Freshness.OwnWrites own
              && own.required()
                  .filter(needed -> view.replayed().log().compareTo(needed.log()) >= 0)
                  .isPresent();

  private final Router delegate;
  private final BiPredicate<EndpointView, RouteRequest> replicaFilter;

  UnsafeRouter(Router delegate, BiPredicate<EndpointView, RouteRequest> replicaFilter) {
    this.delegate = delegate;
    this.replicaFilter = replicaFilter;
  }

  @Override
  public RouteDecision route(RouteRequest request, GroupKnowledge knowledge) {
    List<EndpointView> accepted =
        knowledge.snapshot().replicas().stream()
            .filter(replica -> request.isReplicaAllowed() && replicaFilter.test(replica, request))
            .toList();
    return accepted.isEmpty()
        ? delegate.route(request, knowledge)
        : new RouteDecision.ToReplica(accepted.getFirst().id());
  }
}

package org.mimosacleat.core.routing;

import java.util.List;
import java.util.function.BiPredicate;
import org.mimosacleat.core.group.EndpointView;

/** A wrong router: it asks less of a replica than a proof. The oracles have to catch it. */
final class UnprovenRouter implements Router {
  /** Any live replica will do. */
  static final BiPredicate<EndpointView, RouteRequest> ANY_REPLICA = (view, request) -> true;

  /** Compares the log position and forgets the term. */
  static final BiPredicate<EndpointView, RouteRequest> FORGETS_TERM =
      (view, request) ->
          request.freshness() instanceof Freshness.OwnWrites own
              && own.required()
                  .filter(needed -> view.replayed().log().compareTo(needed.log()) >= 0)
                  .isPresent();

  private final Router proven;
  private final BiPredicate<EndpointView, RouteRequest> accepts;

  UnprovenRouter(Router proven, BiPredicate<EndpointView, RouteRequest> accepts) {
    this.proven = proven;
    this.accepts = accepts;
  }

  @Override
  public RouteDecision route(RouteRequest request, GroupKnowledge knowledge) {
    List<EndpointView> accepted =
        knowledge.snapshot().replicas().stream()
            .filter(view -> request.mayLeavePrimary() && accepts.test(view, request))
            .toList();
    return accepted.isEmpty()
        ? proven.route(request, knowledge)
        : new RouteDecision.ToReplica(accepted.getFirst().id());
  }
}

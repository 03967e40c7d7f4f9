package org.mimosacleat.core.routing;

/** Chooses the endpoint for a statement that opens a transaction or is a transaction by itself. */
public interface Router {
  /** Decides from the current state. The decision is valid for this request only. */
  RouteDecision route(RouteRequest request, GroupRoutingState state);
}

package org.mimosacleat.core.routing;

/** Chooses the endpoint of a statement that opens a transaction, or is one by itself. */
public interface Router {
  /** Decides from what is known now; the answer holds for this request only. */
  RouteDecision route(RouteRequest request, GroupKnowledge knowledge);
}

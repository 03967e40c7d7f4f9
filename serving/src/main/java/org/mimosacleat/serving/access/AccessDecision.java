package org.mimosacleat.serving.access;

import java.util.Optional;
import org.mimosacleat.core.id.TeamId;

/** Whether a caller may use a route. */
public sealed interface AccessDecision {
  /**
   * The caller may use the route.
   *
   * @param team the caller's team; empty on a public route without a known key, and without teams
   */
  record Allowed(Optional<TeamId> team) implements AccessDecision {}

  /** The route requires a key, and the caller's key is missing or belongs to no team. */
  record UnknownKey() implements AccessDecision {}

  /** The key may have been revoked: the configuration is not known to be current. */
  record ConfigurationTooOld() implements AccessDecision {}
}

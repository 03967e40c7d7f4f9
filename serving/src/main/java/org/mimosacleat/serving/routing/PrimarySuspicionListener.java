package org.mimosacleat.serving.routing;

import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;

/** Listens for answers, or missing answers, that make a primary suspect. */
@FunctionalInterface
public interface PrimarySuspicionListener {
  /**
   * Reports that an endpoint may no longer be the primary; must not block.
   *
   * @param reason what was observed
   */
  void suspect(GroupId group, EndpointId primary, String reason);
}

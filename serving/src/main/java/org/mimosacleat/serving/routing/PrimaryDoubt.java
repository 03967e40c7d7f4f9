package org.mimosacleat.serving.routing;

import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;

/** Is told when an answer, or its lack, casts doubt on a primary. */
@FunctionalInterface
public interface PrimaryDoubt {
  /**
   * Tells of a doubt; must return at once.
   *
   * @param reason what was seen
   */
  void doubt(GroupId group, EndpointId primary, String reason);
}

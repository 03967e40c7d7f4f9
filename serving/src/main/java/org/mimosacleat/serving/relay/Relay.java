package org.mimosacleat.serving.relay;

import java.util.List;
import org.mimosacleat.core.id.GroupId;

/** Finds the proxies that run statements for this one. */
@FunctionalInterface
public interface Relay {
  /** For a proxy that runs all statements itself. */
  Relay NONE = _ -> List.of();

  /**
   * Returns the gateways of a group that can be reached, in the order in which to try them; empty
   * if this proxy is to use its own connections.
   */
  List<Gateway> gatewaysOf(GroupId group);
}

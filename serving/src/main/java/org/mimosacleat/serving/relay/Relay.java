package org.mimosacleat.serving.relay;

import java.util.List;
import org.mimosacleat.core.id.GroupId;

/** Finds the proxies that run statements for this one. */
public interface Relay {
  /** For a proxy that runs all statements itself. */
  Relay NONE =
      new Relay() {
        @Override
        public List<Gateway> gatewaysOf(GroupId group) {
          return List.of();
        }

        @Override
        public boolean isIsolated() {
          return true;
        }
      };

  /**
   * Returns the gateways of a group in the order in which to try them; empty if this proxy is a
   * gateway itself.
   */
  List<Gateway> gatewaysOf(GroupId group);

  /**
   * Returns whether no other proxy could be reached for some time. Only then a proxy that is no
   * gateway uses its own connections: when many gateways are gone, as after a power failure, the
   * endpoints can't admit all proxies.
   */
  boolean isIsolated();
}

package org.mimosacleat.serving.relay;

import java.util.Optional;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.TeamId;

/** Finds the proxies that run statements for this one. */
public interface Relay {
  /** For a proxy that runs all statements itself. */
  Relay NONE =
      new Relay() {
        @Override
        public GatewayOrder gatewaysOf(GroupId group, Optional<TeamId> team) {
          return GatewayOrder.HERE;
        }

        @Override
        public boolean isIsolated() {
          return true;
        }
      };

  /**
   * Returns where to run the statements of a team on a group.
   *
   * @param team the team of the caller, if it has one
   */
  GatewayOrder gatewaysOf(GroupId group, Optional<TeamId> team);

  /**
   * Returns whether no other proxy could be reached for some time. Only then a proxy that is no
   * gateway uses its own connections: when many gateways are gone, as after a power failure, the
   * endpoints can't admit all proxies.
   */
  boolean isIsolated();
}

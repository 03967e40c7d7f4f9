package org.mimosacleat.proxy.fleet;

import java.time.Instant;
import java.util.Set;
import org.mimosacleat.core.id.EndpointId;

/** Is told which endpoints the platform lists as leaving. */
@FunctionalInterface
public interface LeavingListener {
  /**
   * Takes in one reading of the list.
   *
   * @param askedAt when the list was asked for
   * @param leaving all endpoints that it has as leaving
   */
  void listed(Instant askedAt, Set<EndpointId> leaving);
}

package org.mimosacleat.proxy.home;

import java.util.Map;
import java.util.Set;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.lease.FencingToken;
import org.mimosacleat.proxy.endpoint.EndpointPool;
import org.mimosacleat.proxy.settings.GroupSettings;

/**
 * The working parts of one group on this proxy.
 *
 * @param settings the group
 * @param state what is known of it
 * @param pools connections by endpoint
 * @param monitors the watchers of its endpoints
 * @param administrators give the endpoints commands
 * @param slots the slots of its endpoints
 * @param transactions its open transactions
 */
record GroupResources(
    GroupSettings settings,
    GroupState state,
    Map<EndpointId, EndpointPool> pools,
    EndpointMonitors monitors,
    Map<EndpointId, EndpointAdministrator> administrators,
    StatementSlots slots,
    OpenTransactions transactions)
    implements AutoCloseable {

  Set<EndpointId> members() {
    return pools.keySet();
  }

  /** Opens connections under a token from now on. */
  void useToken(FencingToken token) {
    pools.values().forEach(pool -> pool.useToken(token));
  }

  /** Lets go of every connection that requests use. */
  void releaseConnections() {
    transactions.discardAll();
    pools.values().forEach(EndpointPool::closeIdle);
  }

  @Override
  public void close() {
    monitors.close();
    transactions.discardAll();
    pools.values().forEach(EndpointPool::close);
    administrators.values().forEach(EndpointAdministrator::close);
  }
}

package org.mimosacleat.proxy.home;

import java.util.Map;
import java.util.Set;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.lease.FencingToken;
import org.mimosacleat.proxy.endpoint.EndpointPool;
import org.mimosacleat.proxy.settings.GroupSettings;

/**
 * The state, connections and monitors of one group on this proxy.
 *
 * @param settings the settings of the group
 * @param state what is known of the group
 * @param pools connection pools by endpoint
 * @param monitors the monitors of its endpoints
 * @param administrators send administrative commands, by endpoint
 * @param slots the statement slots of its endpoints
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

  /** Sets the token under which connections are opened from now on. */
  void useToken(FencingToken token) {
    pools.values().forEach(pool -> pool.useToken(token));
  }

  /** Rolls back all open transactions and closes all idle pooled connections. */
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

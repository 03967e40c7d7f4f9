package org.mimosacleat.proxy.home;

import java.util.Collection;
import org.mimosacleat.proxy.endpoint.EndpointPool;

/**
 * A home with what has to be closed along with it.
 *
 * @param home runs the batches
 * @param state what it knows
 * @param watchers its watchers
 * @param transactions its open transactions
 * @param pools its connections
 */
record RunningHome(
    GroupHome home,
    GroupState state,
    EndpointWatchers watchers,
    OpenTransactions transactions,
    Collection<EndpointPool> pools)
    implements AutoCloseable {
  @Override
  public void close() {
    watchers.close();
    transactions.discardAll();
    pools.forEach(EndpointPool::close);
  }
}

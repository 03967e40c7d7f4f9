package org.mimosacleat.proxy.client;

import java.time.InstantSource;
import java.util.Set;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.proxy.dispatch.Dispatcher;
import org.mimosacleat.proxy.operations.BatchMetrics;
import org.mimosacleat.proxy.settings.LimitSettings;

/**
 * The dependencies that all client connections share.
 *
 * @param dispatcher sends batches to the homes of their groups
 * @param limits the limits of a connection
 * @param authenticator authenticates clients
 * @param cancels the cancel actions of the connections, by cancel key
 * @param metrics records the latency and the failures of batches
 * @param clock measures the latency of batches
 * @param groups the database groups that clients may connect to
 */
record ClientContext(
    Dispatcher dispatcher,
    LimitSettings limits,
    ClientAuthenticator authenticator,
    CancelRegistry cancels,
    BatchMetrics metrics,
    InstantSource clock,
    Set<GroupId> groups) {
  ClientContext {
    groups = Set.copyOf(groups);
  }
}

package org.mimosacleat.proxy.caller;

import java.time.InstantSource;
import java.util.Set;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.proxy.dispatch.Dispatcher;
import org.mimosacleat.proxy.operations.BatchMetrics;
import org.mimosacleat.proxy.settings.LimitSettings;

/**
 * What all connections of clients share.
 *
 * @param dispatcher brings batches to their homes
 * @param limits limits on one connection
 * @param authenticator finds out who a client is
 * @param cancels finds the target of a cancel request
 * @param metrics counts batches
 * @param clock times them
 * @param groups the database groups that clients may name
 */
record CallerContext(
    Dispatcher dispatcher,
    LimitSettings limits,
    CallerAuthenticator authenticator,
    CancelRegistry cancels,
    BatchMetrics metrics,
    InstantSource clock,
    Set<GroupId> groups) {
  CallerContext {
    groups = Set.copyOf(groups);
  }
}

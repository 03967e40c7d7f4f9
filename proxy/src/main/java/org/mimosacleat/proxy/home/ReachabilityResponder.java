package org.mimosacleat.proxy.home;

import java.io.IOException;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.wire.fleet.HomeMessage;

/**
 * Reports to the home of a group whether this VM can reach an endpoint. Each response polls the
 * endpoint and may block.
 */
final class ReachabilityResponder {
  private final GroupId group;
  private final HomeContext context;
  private final GroupResources resources;

  ReachabilityResponder(GroupId group, HomeContext context, GroupResources resources) {
    this.group = group;
    this.context = context;
    this.resources = resources;
  }

  void respond(VmId home, HomeMessage.ReachabilityRequest request) {
    boolean reachable = isReachable(request.endpoint());
    context
        .messenger()
        .send(
            home,
            new HomeMessage.ReachabilityResponse(
                group, context.zone(), request.round(), reachable));
  }

  private boolean isReachable(EndpointId endpoint) {
    if (!resources.members().contains(endpoint)) {
      return false;
    }
    try (EndpointPoller poller =
        new EndpointPoller(
            resources.pools().get(endpoint).address(),
            context.clock(),
            context.monitorSettings().timeout())) {
      poller.poll();
      return true;
    } catch (IOException unreachable) {
      return false;
    }
  }
}

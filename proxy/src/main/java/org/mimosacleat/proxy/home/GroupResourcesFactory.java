package org.mimosacleat.proxy.home;

import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.mimosacleat.core.acknowledgement.LeaseStatus;
import org.mimosacleat.core.acknowledgement.ReplicaAcknowledgementTracker;
import org.mimosacleat.core.acknowledgement.TermMembership;
import org.mimosacleat.core.group.EndpointSnapshot;
import org.mimosacleat.core.group.EndpointState;
import org.mimosacleat.core.group.GroupSnapshot;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.core.routing.FreshnessRouter;
import org.mimosacleat.core.routing.RoutingSettings;
import org.mimosacleat.core.session.SessionPositionTable;
import org.mimosacleat.proxy.endpoint.EndpointAddress;
import org.mimosacleat.proxy.endpoint.EndpointPool;
import org.mimosacleat.proxy.settings.EndpointSettings;
import org.mimosacleat.proxy.settings.GroupSettings;

/** Creates the resources and the home of one group. */
final class GroupResourcesFactory {
  /** Connections of an endpoint's limit reserved for polls, fencing and reachability checks. */
  static final int RESERVED_CONNECTIONS = 3;

  private static final int SESSION_TABLE_SIZE = 1 << 13;

  private final GroupSettings group;
  private final HomeContext context;

  GroupResourcesFactory(GroupSettings group, HomeContext context) {
    this.group = group;
    this.context = context;
  }

  GroupResources createResources(EndpointMonitorListener listener, LeaseStatus lease) {
    return new GroupResources(
        group,
        state(lease),
        pools(),
        monitors(listener),
        administrators(),
        new StatementSlots(context.clock(), members(), group.slots()),
        new OpenTransactions(context.clock()));
  }

  GroupHome createHome(GroupResources resources) {
    SlottedBatchRunner runner =
        new SlottedBatchRunner(context.clock(), resources.slots(), context.admission());
    WriteConfirmation confirmation =
        new WriteConfirmation(
            context.clock(),
            resources.state(),
            resources.monitors(),
            context.monitorSettings().confirmationTimeout());
    return new GroupHome(
        context.clock(),
        new FreshnessRouter(
            context.clock(),
            context.random(),
            resources.slots(),
            context.zone(),
            RoutingSettings.DEFAULT),
        resources.state(),
        resources.monitors(),
        context.admission(),
        new EndpointBatchExecutor(
            context.clock(), resources, runner, context.admission(), confirmation));
  }

  private GroupState state(LeaseStatus lease) {
    TermMembership unknownTerm =
        new TermMembership(new Term(0), group.endpoints().getFirst().id(), members());
    return new GroupState(
        new GroupSnapshot(
            group.id(),
            unknownTerm.term(),
            Optional.empty(),
            group.endpoints().stream().map(GroupResourcesFactory::initialState).toList()),
        new ReplicaAcknowledgementTracker(context.clock(), lease, unknownTerm),
        new SessionPositionTable(SESSION_TABLE_SIZE),
        lease);
  }

  private Set<EndpointId> members() {
    return group.endpoints().stream().map(EndpointSettings::id).collect(Collectors.toSet());
  }

  private static EndpointSnapshot initialState(EndpointSettings endpoint) {
    return new EndpointSnapshot(
        endpoint.id(),
        endpoint.zone(),
        EndpointState.SUSPECT,
        Position.NONE,
        Position.NONE,
        Instant.MIN);
  }

  private Map<EndpointId, EndpointPool> pools() {
    Map<EndpointId, EndpointPool> pools = new LinkedHashMap<>();
    for (EndpointSettings endpoint : group.endpoints()) {
      pools.put(
          endpoint.id(),
          new EndpointPool(
              address(endpoint),
              Math.max(1, group.connections() - RESERVED_CONNECTIONS),
              context.limitSettings().maxAnswerBytes(),
              context.limitSettings().requestTimeout()));
    }
    return pools;
  }

  private EndpointMonitors monitors(EndpointMonitorListener listener) {
    Map<EndpointId, EndpointMonitor> monitors = new LinkedHashMap<>();
    for (EndpointSettings endpoint : group.endpoints()) {
      EndpointPoller poller =
          new EndpointPoller(
              address(endpoint), context.clock(), context.monitorSettings().timeout());
      monitors.put(
          endpoint.id(),
          new EndpointMonitor(
              endpoint.id(), poller, context.monitorSettings().interval(), listener));
    }
    return new EndpointMonitors(monitors);
  }

  private Map<EndpointId, EndpointAdministrator> administrators() {
    Map<EndpointId, EndpointAdministrator> administrators = new LinkedHashMap<>();
    for (EndpointSettings endpoint : group.endpoints()) {
      administrators.put(
          endpoint.id(),
          new EndpointAdministrator(
              address(endpoint), context.clock(), context.monitorSettings().timeout()));
    }
    return administrators;
  }

  private EndpointAddress address(EndpointSettings endpoint) {
    return new EndpointAddress(
        endpoint.id(), endpoint.address(), group.user(), group.password(), group.database());
  }
}

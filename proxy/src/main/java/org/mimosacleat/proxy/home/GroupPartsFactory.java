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

/** Makes the working parts of one group. */
final class GroupPartsFactory {
  /** Connections of an endpoint's limit that polls, fences and evidence take. */
  static final int RESERVED_CONNECTIONS = 3;

  private static final int SESSION_SLOTS = 1 << 13;

  private final GroupSettings group;
  private final HomeContext context;

  GroupPartsFactory(GroupSettings group, HomeContext context) {
    this.group = group;
    this.context = context;
  }

  GroupParts make(WatchListener listener, LeaseStatus lease) {
    return new GroupParts(
        group,
        state(lease),
        pools(),
        watchers(listener),
        administrators(),
        new StatementSlots(context.clock(), members(), group.slots()),
        new OpenTransactions(context.clock()));
  }

  GroupHome home(GroupParts parts) {
    SlottedRunner runner = new SlottedRunner(context.clock(), parts.slots(), context.admission());
    WriteConfirmation confirmation =
        new WriteConfirmation(
            context.clock(),
            parts.state(),
            parts.watchers(),
            context.monitor().confirmationTimeout());
    return new GroupHome(
        context.clock(),
        new FreshnessRouter(
            context.clock(),
            context.random(),
            parts.slots(),
            context.zone(),
            RoutingSettings.DEFAULT),
        parts.state(),
        parts.watchers(),
        context.admission(),
        new EndpointWork(context.clock(), parts, runner, context.admission(), confirmation));
  }

  private GroupState state(LeaseStatus lease) {
    TermMembership unknown =
        new TermMembership(new Term(0), group.endpoints().getFirst().id(), members());
    return new GroupState(
        new GroupSnapshot(
            group.id(),
            unknown.term(),
            Optional.empty(),
            group.endpoints().stream().map(GroupPartsFactory::unseen).toList()),
        new ReplicaAcknowledgementTracker(context.clock(), lease, unknown),
        new SessionPositionTable(SESSION_SLOTS),
        lease);
  }

  private Set<EndpointId> members() {
    return group.endpoints().stream().map(EndpointSettings::id).collect(Collectors.toSet());
  }

  private static EndpointSnapshot unseen(EndpointSettings endpoint) {
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
              context.limits().answerBytes(),
              context.limits().requestTimeout()));
    }
    return pools;
  }

  private EndpointWatchers watchers(WatchListener listener) {
    Map<EndpointId, EndpointWatcher> watchers = new LinkedHashMap<>();
    for (EndpointSettings endpoint : group.endpoints()) {
      EndpointPoller poller =
          new EndpointPoller(address(endpoint), context.clock(), context.monitor().timeout());
      watchers.put(
          endpoint.id(),
          new EndpointWatcher(endpoint.id(), poller, context.monitor().interval(), listener));
    }
    return new EndpointWatchers(watchers);
  }

  private Map<EndpointId, EndpointAdministrator> administrators() {
    Map<EndpointId, EndpointAdministrator> administrators = new LinkedHashMap<>();
    for (EndpointSettings endpoint : group.endpoints()) {
      administrators.put(
          endpoint.id(),
          new EndpointAdministrator(
              address(endpoint), context.clock(), context.monitor().timeout()));
    }
    return administrators;
  }

  private EndpointAddress address(EndpointSettings endpoint) {
    return new EndpointAddress(
        endpoint.id(), endpoint.address(), group.user(), group.password(), group.database());
  }
}

package org.mimosacleat.proxy.home;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.mimosacleat.core.acknowledgement.LeaseStatus;
import org.mimosacleat.core.acknowledgement.Reign;
import org.mimosacleat.core.acknowledgement.ReplicaAcknowledgementTracker;
import org.mimosacleat.core.group.EndpointState;
import org.mimosacleat.core.group.EndpointView;
import org.mimosacleat.core.group.GroupSnapshot;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.core.routing.FreshnessRouter;
import org.mimosacleat.core.routing.RoutingSettings;
import org.mimosacleat.core.session.SessionPositionTable;
import org.mimosacleat.proxy.endpoint.EndpointAddress;
import org.mimosacleat.proxy.endpoint.EndpointPool;
import org.mimosacleat.proxy.settings.EndpointSettings;
import org.mimosacleat.proxy.settings.GroupSettings;
import org.mimosacleat.proxy.settings.LimitSettings;
import org.mimosacleat.proxy.settings.MonitorSettings;

/** Puts together the homes of groups and starts their watchers. */
public final class HomeFactory {
  private static final int SESSION_SLOTS = 1 << 13;

  private final InstantSource clock;
  private final RandomGenerator random;
  private final AvailabilityZone zone;
  private final LimitSettings limits;
  private final MonitorSettings monitor;
  private final ExecutorService executor;
  private final BiConsumer<EndpointId, String> pollFailures;

  /**
   * Takes what all homes share.
   *
   * @param pollFailures told of each failed poll and its reason
   */
  public HomeFactory(
      InstantSource clock,
      RandomGenerator random,
      AvailabilityZone zone,
      LimitSettings limits,
      MonitorSettings monitor,
      ExecutorService executor,
      BiConsumer<EndpointId, String> pollFailures) {
    this.clock = clock;
    this.random = random;
    this.zone = zone;
    this.limits = limits;
    this.monitor = monitor;
    this.executor = executor;
    this.pollFailures = pollFailures;
  }

  /** Starts the homes of {@code groups}. */
  public Homes start(List<GroupSettings> groups) {
    Map<GroupId, RunningHome> homes = new LinkedHashMap<>();
    groups.forEach(group -> homes.put(group.id(), start(group)));
    return new Homes(homes);
  }

  private RunningHome start(GroupSettings group) {
    LeaseStatus lease = () -> true;
    GroupState state = state(group, lease);
    Map<EndpointId, EndpointPool> pools = pools(group);
    EndpointWatchers watchers = watchers(group, state);
    OpenTransactions transactions = new OpenTransactions(clock);
    GroupHome home =
        new GroupHome(
            clock,
            new FreshnessRouter(
                clock, random, endpoint -> Duration.ZERO, zone, RoutingSettings.DEFAULT),
            state,
            pools,
            watchers,
            transactions,
            monitor.confirmationTimeout());
    watchers.start(executor);
    return new RunningHome(home, state, watchers, transactions, pools.values());
  }

  private GroupState state(GroupSettings group, LeaseStatus lease) {
    Set<EndpointId> members =
        group.endpoints().stream().map(EndpointSettings::id).collect(Collectors.toSet());
    Reign unknown = new Reign(new Term(0), group.endpoints().getFirst().id(), members);
    return new GroupState(
        new GroupSnapshot(
            group.id(),
            unknown.term(),
            Optional.empty(),
            group.endpoints().stream().map(HomeFactory::unseen).toList()),
        new ReplicaAcknowledgementTracker(clock, lease, unknown),
        new SessionPositionTable(SESSION_SLOTS),
        lease);
  }

  private static EndpointView unseen(EndpointSettings endpoint) {
    return new EndpointView(
        endpoint.id(),
        endpoint.zone(),
        EndpointState.SUSPECT,
        Position.NONE,
        Position.NONE,
        Instant.MIN);
  }

  private Map<EndpointId, EndpointPool> pools(GroupSettings group) {
    Map<EndpointId, EndpointPool> pools = new LinkedHashMap<>();
    for (EndpointSettings endpoint : group.endpoints()) {
      // One connection of the limit belongs to the watcher.
      pools.put(
          endpoint.id(),
          new EndpointPool(
              address(group, endpoint),
              group.connections() - 1,
              limits.answerBytes(),
              limits.requestTimeout()));
    }
    return pools;
  }

  private EndpointWatchers watchers(GroupSettings group, GroupState state) {
    PrimaryFinder finder = new PrimaryFinder(state, clock, pollFailures);
    Map<EndpointId, EndpointWatcher> watchers = new LinkedHashMap<>();
    for (EndpointSettings endpoint : group.endpoints()) {
      EndpointPoller poller =
          new EndpointPoller(address(group, endpoint), clock, monitor.timeout());
      watchers.put(
          endpoint.id(), new EndpointWatcher(endpoint.id(), poller, monitor.interval(), finder));
    }
    return new EndpointWatchers(watchers);
  }

  private static EndpointAddress address(GroupSettings group, EndpointSettings endpoint) {
    return new EndpointAddress(
        endpoint.id(), endpoint.address(), group.user(), group.password(), group.database());
  }
}

package org.mimosacleat.serving.endpoint;

import java.time.InstantSource;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.serving.fleet.EndpointEntry;
import org.mimosacleat.serving.fleet.FleetState;

/** The pools of all known endpoints; an endpoint that restarts gets a new pool. */
public final class EndpointPools {
  private final EndpointDialer dialer;
  private final InstantSource clock;
  private final FleetState fleet;
  private final ConnectionShare share;
  private final Predicate<GroupId> isGateway;
  private final ConcurrentHashMap<EndpointId, EndpointPool> pools = new ConcurrentHashMap<>();

  /** Earlier pools, of which connections may still be in use. */
  private final Set<EndpointPool> retired = ConcurrentHashMap.newKeySet();

  /**
   * Creates an instance without endpoints.
   *
   * @param isGateway whether this proxy keeps connections to the endpoints of a group
   */
  public EndpointPools(
      EndpointDialer dialer,
      InstantSource clock,
      FleetState fleet,
      ConnectionShare share,
      Predicate<GroupId> isGateway) {
    this.dialer = dialer;
    this.clock = clock;
    this.fleet = fleet;
    this.share = share;
    this.isGateway = isGateway;
  }

  /** Adds an endpoint or updates its entry. */
  public void put(EndpointEntry entry) {
    EndpointPool pool =
        pools.compute(
            entry.id(),
            (_, known) ->
                known != null && known.entry().isSameInstanceAs(entry)
                    ? known
                    : replace(known, entry));
    pool.update(entry);
    fleet.put(entry);
  }

  /** Removes an endpoint and closes its connections when they are returned. */
  public void remove(EndpointId endpoint) {
    EndpointPool pool = pools.remove(endpoint);
    if (pool != null) {
      retire(pool);
    }
    fleet.remove(endpoint);
  }

  /**
   * Closes all connections to an endpoint, including those in use, so that no further answer is
   * received; also those of its earlier pools.
   */
  public void closeAll(EndpointId endpoint) {
    find(endpoint).ifPresent(EndpointPool::closeAll);
    retired.stream()
        .filter(pool -> pool.entry().id().equals(endpoint))
        .forEach(EndpointPool::closeAll);
  }

  /** Returns the pool of an endpoint. */
  public Optional<EndpointPool> find(EndpointId endpoint) {
    return Optional.ofNullable(pools.get(endpoint));
  }

  /** Resizes all pools after a change of the configuration or of the number of proxies. */
  public void resize() {
    share.setTeams(
        fleet
            .snapshot()
            .configuration()
            .filter(known -> known.teams().areConfigured())
            .isPresent());
    pools.values().forEach(pool -> pool.resize(sizeFor(pool.entry().group())));
  }

  /**
   * Opens one connection to each endpoint whose gateway this proxy is, unless one is open. With
   * teams it opens none, since the team of the first statement is not known.
   */
  public void openAhead() {
    if (share.hasTeams()) {
      return;
    }
    pools.values().stream()
        .filter(pool -> isGateway.test(pool.entry().group()))
        .forEach(EndpointPool::openAhead);
  }

  private EndpointPool replace(EndpointPool known, EndpointEntry entry) {
    if (known != null) {
      retire(known);
    }
    return new EndpointPool(entry, dialer, clock, sizeFor(entry.group()));
  }

  private void retire(EndpointPool pool) {
    retired.removeIf(earlier -> earlier.inFlight() == 0);
    retired.add(pool);
    pool.close();
  }

  private PoolSize sizeFor(GroupId group) {
    return isGateway.test(group) ? new PoolSize(connectionsTo(group), true) : PoolSize.ON_DEMAND;
  }

  private int connectionsTo(GroupId group) {
    return fleet
        .snapshot()
        .configuration()
        .map(configuration -> configuration.groups().get(group))
        .map(settings -> share.connectionsPerEndpoint(settings.maximumConnections()))
        .orElse(ConnectionShare.MIN_CONNECTIONS);
  }
}

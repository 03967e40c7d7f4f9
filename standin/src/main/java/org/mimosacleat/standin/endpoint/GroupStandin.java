package org.mimosacleat.standin.endpoint;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;

/**
 * An in-memory database group: the first endpoint starts as the primary, the others as its
 * replicas. The group never promotes a replica by itself; the proxies do.
 */
public final class GroupStandin implements AutoCloseable {
  private final GroupId id;
  private final List<EndpointStandin> endpoints;

  /**
   * Creates a stopped group; its endpoints are named {@code GROUP-1}, {@code GROUP-2} and so on.
   *
   * @param id the group
   * @param zones the availability zone of each endpoint, starting with the first primary
   * @param settings the limits and delays of every endpoint
   * @param clock the clock that times the replication lags
   * @param random the source of all random values
   */
  public GroupStandin(
      GroupId id,
      List<AvailabilityZone> zones,
      EndpointSettings settings,
      InstantSource clock,
      RandomGenerator random) {
    Checks.positive("endpoints of group " + id, zones.size());
    this.id = id;
    ReplicationDirectory directory = new ReplicationDirectory();
    List<EndpointStandin> instances = new ArrayList<>();
    for (AvailabilityZone zone : zones) {
      EndpointId endpointId = new EndpointId(id + "-" + (instances.size() + 1));
      RandomGenerator endpointRandom = new SplittableRandom(random.nextLong());
      instances.add(
          new EndpointStandin(endpointId, zone, settings, clock, endpointRandom, directory));
    }
    this.endpoints = List.copyOf(instances);
  }

  /** Starts all endpoints and makes all but the first replicate from the first. */
  public void start() {
    endpoints.forEach(EndpointStandin::start);
    int port = endpoints.getFirst().address().getPort();
    String connectionInfo = "host=127.0.0.1 port=" + port;
    for (EndpointStandin replica : endpoints.subList(1, endpoints.size())) {
      replica.state().setUpstream(connectionInfo);
      replica.state().reload();
      replica.wakeReplicator();
    }
  }

  /** Returns the id. */
  public GroupId id() {
    return id;
  }

  /** Returns all endpoints in the order of their names. */
  public List<EndpointStandin> endpoints() {
    return endpoints;
  }

  /** Returns the endpoint with this id. */
  public EndpointStandin endpoint(EndpointId endpoint) {
    return endpoints.stream()
        .filter(candidate -> candidate.id().equals(endpoint))
        .findFirst()
        .orElseThrow(
            () -> new IllegalArgumentException("group " + id + " has no endpoint " + endpoint));
  }

  /** Returns the running primary of the latest term. */
  public EndpointStandin primary() {
    return endpoints.stream()
        .filter(endpoint -> endpoint.isRunning() && !endpoint.isReplica())
        .max(java.util.Comparator.comparing(EndpointStandin::replayedPosition))
        .orElseThrow(() -> new IllegalStateException("group " + id + " has no running primary"));
  }

  @Override
  public void close() {
    endpoints.forEach(EndpointStandin::close);
  }
}

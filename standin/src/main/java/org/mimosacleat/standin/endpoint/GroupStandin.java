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
 * A database group in memory: the first endpoint starts as the primary, the others as its replicas.
 * Nobody in the group promotes a replica; that is for the proxies.
 */
public final class GroupStandin implements AutoCloseable {
  private final GroupId id;
  private final List<EndpointStandin> endpoints;

  /**
   * Makes a group that does not run yet; its endpoints are named {@code GROUP-1} and so on.
   *
   * @param id the group
   * @param zones the availability zone of each endpoint, the first primary's first
   * @param settings the sizes and delays of every endpoint
   * @param clock the clock for the lags
   * @param random the source of all draws
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
    List<EndpointStandin> made = new ArrayList<>();
    for (AvailabilityZone zone : zones) {
      EndpointId name = new EndpointId(id + "-" + (made.size() + 1));
      RandomGenerator own = new SplittableRandom(random.nextLong());
      made.add(new EndpointStandin(name, zone, settings, clock, own, directory));
    }
    this.endpoints = List.copyOf(made);
  }

  /** Starts all endpoints and lets the replicas receive from the first. */
  public void start() {
    endpoints.forEach(EndpointStandin::start);
    int port = endpoints.getFirst().address().getPort();
    String connection = "host=127.0.0.1 port=" + port;
    for (EndpointStandin replica : endpoints.subList(1, endpoints.size())) {
      replica.state().setUpstream(connection);
      replica.state().reload();
      replica.wakeFollower();
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

package org.mimosacleat.serving.endpoint;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.mimosacleat.core.check.Checks;

/**
 * Divides an endpoint's connection limit between the proxies that connect to it, so that all of
 * them together stay below it. In a small fleet every proxy connects; in a large one only the
 * gateways of the group, as many in each zone as the limit allows.
 */
public final class ConnectionShare {
  /** The minimum for each proxy, whatever the number of proxies. */
  public static final int MIN_CONNECTIONS = 1;

  /**
   * More connections from one proxy do not let an endpoint run more statements concurrently. With
   * teams there is no such maximum, since the connections of a resting team are of no use to
   * others.
   */
  private static final int MAX_CONNECTIONS = 6;

  /**
   * The fraction of the limit that is divided. The rest is reserved for proxies that have just
   * started and for connections of machines that lost power, which an endpoint keeps open for some
   * seconds.
   */
  private static final double DIVIDED_FRACTION = 0.6;

  /**
   * The fraction that is divided where each connection serves only one team: a smaller reserve is
   * accepted for fewer evictions.
   */
  private static final double DIVIDED_FRACTION_WITH_TEAMS = 0.8;

  /** With fewer connections for each proxy, only the gateways connect. */
  private static final int MIN_CONNECTIONS_WITHOUT_GATEWAYS = 2;

  /** One transaction that rests must not hold up the other statements of a gateway. */
  private static final int MIN_CONNECTIONS_OF_GATEWAY = 3;

  /** More gateways would each see too little of a group to know its primary's positions. */
  private static final int MAX_GATEWAYS_PER_ZONE = 4;

  private final AtomicReference<FleetSize> size;
  private final AtomicBoolean earlierConnectionsClosed = new AtomicBoolean();
  private final AtomicBoolean teams = new AtomicBoolean();

  /** Creates a share from an estimate of the number of proxies. */
  public ConnectionShare(int proxies) {
    this.size = new AtomicReference<>(new FleetSize(proxies, 1));
  }

  /** Sets the number of proxies and of their zones, and returns whether one has changed. */
  public boolean setFleetSize(int proxies, int zones) {
    FleetSize next = new FleetSize(Math.max(1, proxies), Math.max(1, zones));
    return !size.getAndSet(next).equals(next);
  }

  /**
   * Sets whether the configuration has teams, to which connections are bound, and returns whether
   * that has changed. The pools have to be resized after a change.
   */
  public boolean setTeams(boolean present) {
    return teams.getAndSet(present) != present;
  }

  /** Returns whether connections are bound to teams. */
  boolean hasTeams() {
    return teams.get();
  }

  /**
   * Records that the endpoints have closed the connections that an earlier run of this proxy had
   * opened.
   */
  public void earlierConnectionsClosed() {
    earlierConnectionsClosed.set(true);
  }

  /** Returns how many proxies of a zone connect to an endpoint with this limit. */
  public int gatewaysPerZone(int maxConnections) {
    FleetSize now = size.get();
    if (share(maxConnections, now.proxies()) >= MIN_CONNECTIONS_WITHOUT_GATEWAYS) {
      return now.proxies();
    }
    for (int gateways = MAX_GATEWAYS_PER_ZONE; gateways > 1; gateways--) {
      if (share(maxConnections, gateways * now.zones()) >= MIN_CONNECTIONS_OF_GATEWAY) {
        return gateways;
      }
    }
    return 1;
  }

  /**
   * Returns the connections of each gateway, not rounded: its part of the divided fraction, but so
   * few that {@link #MIN_CONNECTIONS} more fit into the limit while an earlier run's are open.
   */
  private double share(int maxConnections, int gateways) {
    double fraction = teams.get() ? DIVIDED_FRACTION_WITH_TEAMS : DIVIDED_FRACTION;
    double beside = (double) maxConnections / gateways - MIN_CONNECTIONS;
    return Math.min(maxConnections * fraction / gateways, beside);
  }

  /**
   * Returns how many connections a gateway may hold to an endpoint with this limit. Until the
   * connections of an earlier run are closed, both runs together must fit into this proxy's equal
   * part of the limit.
   */
  public int connectionsPerEndpoint(int maxConnections) {
    FleetSize now = size.get();
    int gateways = Math.min(now.proxies(), gatewaysPerZone(maxConnections) * now.zones());
    int most = teams.get() ? Integer.MAX_VALUE : MAX_CONNECTIONS;
    int connections = Math.clamp((int) share(maxConnections, gateways), MIN_CONNECTIONS, most);
    if (earlierConnectionsClosed.get()) {
      return connections;
    }
    int remaining = maxConnections / gateways - connections;
    return Math.clamp(remaining, MIN_CONNECTIONS, connections);
  }

  private record FleetSize(int proxies, int zones) {
    FleetSize {
      Checks.positive("number of proxies", proxies);
      Checks.positive("number of zones", zones);
    }
  }
}

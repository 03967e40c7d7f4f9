package org.mimosacleat.serving.endpoint;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.mimosacleat.core.check.Checks;

/**
 * Divides an endpoint's connection limit between the proxies, so that all proxies together stay
 * below it.
 */
public final class ConnectionShare {
  /** The minimum for each proxy, whatever the number of proxies. */
  public static final int MIN_CONNECTIONS = 1;

  /** More connections from one proxy do not let an endpoint run more statements concurrently. */
  private static final int MAX_CONNECTIONS = 6;

  /**
   * The fraction of the limit that is divided. The rest is reserved for proxies that have just
   * started and for connections of machines that lost power, which an endpoint keeps open for some
   * seconds.
   */
  private static final double DIVIDED_FRACTION = 0.6;

  private final AtomicInteger proxies;
  private final AtomicBoolean earlierConnectionsClosed = new AtomicBoolean();

  /** Creates a share from an estimate of the number of proxies. */
  public ConnectionShare(int proxies) {
    this.proxies = new AtomicInteger((int) Checks.positive("number of proxies", proxies));
  }

  /** Sets the number of proxies and returns whether it has changed. */
  public boolean setProxyCount(int count) {
    return proxies.getAndSet(Math.max(1, count)) != Math.max(1, count);
  }

  /**
   * Records that the endpoints have closed the connections that an earlier run of this proxy had
   * opened.
   */
  public void earlierConnectionsClosed() {
    earlierConnectionsClosed.set(true);
  }

  /**
   * Returns how many connections this proxy may hold to an endpoint with this limit. Until the
   * connections of an earlier run are closed, both runs together must fit into this proxy's equal
   * part of the limit.
   */
  public int connectionsPerEndpoint(int maxConnections) {
    int share = (int) (maxConnections * DIVIDED_FRACTION / proxies.get());
    int connections = Math.clamp(share, MIN_CONNECTIONS, MAX_CONNECTIONS);
    if (earlierConnectionsClosed.get()) {
      return connections;
    }
    int remaining = maxConnections / proxies.get() - connections;
    return Math.clamp(remaining, MIN_CONNECTIONS, connections);
  }
}

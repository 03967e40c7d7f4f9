package org.mimosacleat.serving.endpoint;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.mimosacleat.core.check.Checks;

/**
 * Divides the connections that an endpoint takes between the proxies, so that all together stay
 * under its limit.
 */
public final class ConnectionShare {
  /** What a proxy holds however many there are. */
  public static final int LEAST_LINKS = 1;

  /** More connections from one proxy would not make an endpoint work on more statements. */
  private static final int MOST_LINKS = 6;

  /**
   * The part of the limit that is divided. The rest is for proxies that have just come, and for the
   * connections of machines that lost power, which an endpoint keeps for some seconds.
   */
  private static final double DIVIDED_PART = 0.6;

  private final AtomicInteger proxies;
  private final AtomicBoolean settled = new AtomicBoolean();

  /** Starts with an estimate of the number of proxies. */
  public ConnectionShare(int proxies) {
    this.proxies = new AtomicInteger((int) Checks.positive("number of proxies", proxies));
  }

  /** Takes over the number of proxies, and tells whether it has changed. */
  public boolean setProxies(int count) {
    return proxies.getAndSet(Math.max(1, count)) != Math.max(1, count);
  }

  /** Takes note that the endpoints have dropped what an earlier run of this proxy had opened. */
  public void settle() {
    settled.set(true);
  }

  /** Returns how many connections this proxy may hold to an endpoint with this limit. */
  public int linksPerEndpoint(int maximumConnections) {
    int share = (int) (maximumConnections * DIVIDED_PART / proxies.get());
    int links = Math.clamp(share, LEAST_LINKS, MOST_LINKS);
    if (settled.get()) {
      return links;
    }
    int beside = maximumConnections / proxies.get() - links;
    return Math.clamp(beside, LEAST_LINKS, links);
  }
}

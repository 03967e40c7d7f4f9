package org.mimosacleat.serving.endpoint;

import org.mimosacleat.core.check.Checks;

/**
 * The size of a pool.
 *
 * @param maxConnections the maximum number of connections
 * @param keepsIdle whether connections stay open while no session uses them
 */
public record PoolSize(int maxConnections, boolean keepsIdle) {
  /** For a proxy that connects only when no gateway can be reached. */
  static final PoolSize ON_DEMAND = new PoolSize(ConnectionShare.MIN_CONNECTIONS, false);

  /** Checks the maximum. */
  public PoolSize {
    Checks.positive("maximum number of connections", maxConnections);
  }
}

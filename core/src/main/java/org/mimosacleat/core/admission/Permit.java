package org.mimosacleat.core.admission;

import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Permission for one statement or connection to use a home's capacity. Close it when the statement
 * has been answered completely or the connection is no longer in use; closing it again has no
 * effect.
 */
public final class Permit implements AutoCloseable {
  private final CustomerLimits limits;
  private final Resource resource;
  private final AtomicBoolean closed = new AtomicBoolean();

  Permit(CustomerLimits limits, Resource resource) {
    this.limits = limits;
    this.resource = resource;
  }

  @Override
  public void close() {
    if (closed.compareAndSet(false, true)) {
      limits.release(resource);
    }
  }
}

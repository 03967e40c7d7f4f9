package org.mimosacleat.core.admission;

import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The right of one statement or connection to be at a home. Close it when the statement has its
 * whole answer or the connection is free; closing it again does nothing.
 */
public final class Permit implements AutoCloseable {
  private final CustomerGate gate;
  private final Resource resource;
  private final AtomicBoolean closed = new AtomicBoolean();

  Permit(CustomerGate gate, Resource resource) {
    this.gate = gate;
    this.resource = resource;
  }

  @Override
  public void close() {
    if (closed.compareAndSet(false, true)) {
      gate.leave(resource);
    }
  }
}

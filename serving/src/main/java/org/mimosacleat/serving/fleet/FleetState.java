package org.mimosacleat.serving.fleet;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;
import org.mimosacleat.core.id.EndpointId;

/** Holds the current snapshot of the fleet; each change replaces the snapshot atomically. */
public final class FleetState {
  private final AtomicReference<FleetSnapshot> snapshot =
      new AtomicReference<>(FleetSnapshot.EMPTY);
  private final AtomicReference<CompletableFuture<Void>> change =
      new AtomicReference<>(new CompletableFuture<>());

  /** Returns the current snapshot. */
  public FleetSnapshot snapshot() {
    return snapshot.get();
  }

  /**
   * Returns a future that completes at the next change. Get it before the snapshot, so that no
   * change in between is missed.
   */
  public CompletableFuture<Void> nextChange() {
    return change.get();
  }

  /** Applies a configuration if it is newer than the current one; returns whether it is. */
  public boolean applyIfNewer(Configuration newer) {
    FleetSnapshot previous =
        replace(current -> isNewer(current, newer) ? current.with(newer) : current);
    return isNewer(previous, newer);
  }

  /** Adds or replaces an endpoint. */
  public void put(EndpointEntry entry) {
    replace(current -> current.with(entry));
  }

  /** Removes an endpoint. */
  public void remove(EndpointId removed) {
    replace(current -> current.without(removed));
  }

  /** Completes the future of the next change, which wakes the requests waiting for it. */
  public void notifyWaiters() {
    change.getAndSet(new CompletableFuture<>()).complete(null);
  }

  private FleetSnapshot replace(UnaryOperator<FleetSnapshot> update) {
    FleetSnapshot previous = snapshot.getAndUpdate(update);
    notifyWaiters();
    return previous;
  }

  private static boolean isNewer(FleetSnapshot current, Configuration newer) {
    return current.configuration().filter(old -> old.version() >= newer.version()).isEmpty();
  }
}

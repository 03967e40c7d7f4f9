package org.mimosacleat.serving.fleet;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;
import org.mimosacleat.core.id.EndpointId;

/** Holds the present picture of the fleet; readers take it whole, writers replace it whole. */
public final class FleetState {
  private final AtomicReference<FleetPicture> picture = new AtomicReference<>(FleetPicture.EMPTY);
  private final AtomicReference<CompletableFuture<Void>> change =
      new AtomicReference<>(new CompletableFuture<>());

  /** Returns the present picture. */
  public FleetPicture picture() {
    return picture.get();
  }

  /** Returns a future that is done at the next change; take it before the picture. */
  public CompletableFuture<Void> nextChange() {
    return change.get();
  }

  /** Takes over a configuration, and tells whether it was newer than the present one. */
  public boolean configure(Configuration newer) {
    FleetPicture before = replace(known -> isNewer(known, newer) ? known.with(newer) : known);
    return isNewer(before, newer);
  }

  /** Adds or replaces an endpoint. */
  public void put(EndpointEntry entry) {
    replace(known -> known.with(entry));
  }

  /** Drops an endpoint. */
  public void remove(EndpointId gone) {
    replace(known -> known.without(gone));
  }

  /** Wakes whoever waits for a change. */
  public void signal() {
    change.getAndSet(new CompletableFuture<>()).complete(null);
  }

  private FleetPicture replace(UnaryOperator<FleetPicture> step) {
    FleetPicture before = picture.getAndUpdate(step);
    signal();
    return before;
  }

  private static boolean isNewer(FleetPicture known, Configuration newer) {
    return known.configuration().filter(old -> old.version() >= newer.version()).isEmpty();
  }
}

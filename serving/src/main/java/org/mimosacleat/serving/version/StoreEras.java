package org.mimosacleat.serving.version;

import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import org.tinylog.Logger;

/** Follows the era of the shared store, as its answers report it. Thread-safe. */
public final class StoreEras {
  private final InstantSource clock;
  private final AtomicReference<Seen> latest;
  private final CopyOnWriteArrayList<Runnable> listeners = new CopyOnWriteArrayList<>();

  /** Creates an instance that has seen no answer yet. */
  public StoreEras(InstantSource clock) {
    this.clock = clock;
    this.latest = new AtomicReference<>(new Seen(StoreEra.UNKNOWN, clock.instant(), true));
  }

  /** Adds an action that runs after each return of the store from an older copy. */
  public void onReturn(Runnable listener) {
    listeners.add(listener);
  }

  /** Records the era of an answer; one that arrives late, from an earlier era, changes nothing. */
  public void observe(StoreEra era) {
    Seen before = latest.get();
    if (!era.isAfter(before.era())) {
      return;
    }
    boolean first = before.era().equals(StoreEra.UNKNOWN);
    if (!latest.compareAndSet(before, new Seen(era, clock.instant(), first))) {
      observe(era);
      return;
    }
    if (first) {
      Logger.info("store: era {}", era);
      return;
    }
    Logger.warn(
        "store: era {} after {}: the store came back from an older copy; the latest changes may be"
            + " lost, and versions are given out again",
        era,
        before.era());
    listeners.forEach(Runnable::run);
  }

  /** Returns the latest era seen. */
  public StoreEra current() {
    return latest.get().era();
  }

  /** Returns when the latest era was first seen, by the monotonic clock. */
  public Instant currentSince() {
    return latest.get().at();
  }

  /** Returns whether this proxy has seen only one era, and so no return of the store. */
  public boolean isFirst() {
    return latest.get().first();
  }

  private record Seen(StoreEra era, Instant at, boolean first) {}
}

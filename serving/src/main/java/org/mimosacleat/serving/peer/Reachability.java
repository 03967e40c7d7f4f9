package org.mimosacleat.serving.peer;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicReference;

/** Since when another proxy has been unreachable. */
final class Reachability {
  /** {@link Instant#MAX} while the proxy is reachable. */
  private final AtomicReference<Instant> lostSince;

  /** Creates the state of a proxy that has not been reached yet. */
  Reachability(Instant now) {
    this.lostSince = new AtomicReference<>(now);
  }

  void reached() {
    lostSince.set(Instant.MAX);
  }

  /** Records that the proxy is unreachable; an earlier record remains in effect. */
  void lost(Instant now) {
    lostSince.compareAndSet(Instant.MAX, now);
  }

  boolean hasBeenLostFor(Duration time, Instant now) {
    Instant since = lostSince.get();
    return !since.equals(Instant.MAX) && now.isAfter(since.plus(time));
  }
}

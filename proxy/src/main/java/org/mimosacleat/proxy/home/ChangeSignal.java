package org.mimosacleat.proxy.home;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Wakes all who wait for a change. Take {@link #next} before looking at the state, then wait on it:
 * a change in between is not missed.
 */
final class ChangeSignal {
  private final AtomicReference<CompletableFuture<Void>> next =
      new AtomicReference<>(new CompletableFuture<>());

  /** Returns the future of the next change. */
  CompletableFuture<Void> next() {
    return next.get();
  }

  /** Announces a change. */
  void fire() {
    next.getAndSet(new CompletableFuture<>()).complete(null);
  }

  /** Waits for a change, at most for {@code timeout}. */
  static void await(CompletableFuture<Void> change, Duration timeout) {
    try {
      change.get(Math.max(0, timeout.toNanos()), TimeUnit.NANOSECONDS);
    } catch (TimeoutException | ExecutionException noChange) {
      return;
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}

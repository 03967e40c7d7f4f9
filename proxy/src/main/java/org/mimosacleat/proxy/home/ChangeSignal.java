package org.mimosacleat.proxy.home;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Wakes all threads that wait for a state change. Call {@link #next} before reading the state, then
 * wait on the returned future: a change between the two is not missed.
 */
final class ChangeSignal {
  private final AtomicReference<CompletableFuture<Void>> next =
      new AtomicReference<>(new CompletableFuture<>());

  /** Returns the future that completes at the next change. */
  CompletableFuture<Void> next() {
    return next.get();
  }

  /** Signals a change to all waiting threads. */
  void fire() {
    next.getAndSet(new CompletableFuture<>()).complete(null);
  }

  /** Waits until the change is signalled, for at most {@code timeout}. */
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

package org.mimosacleat.proxy.home;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.mimosacleat.core.id.EndpointId;

/**
 * Polls one endpoint between {@link #resume} and {@link #suspend}: at an interval, and at once
 * after {@link #poke}. Run it on a thread of its own; {@link #close} ends it.
 */
final class EndpointWatcher implements Runnable, AutoCloseable {
  private final EndpointId endpoint;
  private final EndpointPoller poller;
  private final Duration interval;
  private final WatchListener listener;
  private final Semaphore pokes = new Semaphore(0);
  private final AtomicBoolean closed = new AtomicBoolean();
  private final AtomicBoolean suspended = new AtomicBoolean(true);

  EndpointWatcher(
      EndpointId endpoint, EndpointPoller poller, Duration interval, WatchListener listener) {
    this.endpoint = endpoint;
    this.poller = poller;
    this.interval = interval;
    this.listener = listener;
  }

  /** Asks for a poll that starts after this call. */
  void poke() {
    pokes.release();
  }

  /** Starts to poll. */
  void resume() {
    suspended.set(false);
    poke();
  }

  /** Stops to poll and gives the connection back. */
  void suspend() {
    suspended.set(true);
    poke();
  }

  @Override
  public void run() {
    while (!closed.get()) {
      if (suspended.get()) {
        poller.close();
        awaitPoke();
      } else {
        pollOnce();
        pause();
      }
    }
    poller.close();
  }

  @Override
  public void close() {
    closed.set(true);
    poke();
  }

  private void pollOnce() {
    // Pokes that came before the question is sent are answered by it.
    pokes.drainPermits();
    try {
      EndpointStatus status = poller.poll();
      listener.answered(status);
    } catch (IOException | RuntimeException failed) {
      listener.failed(endpoint, String.valueOf(failed.getMessage()));
    }
  }

  private void awaitPoke() {
    try {
      pokes.acquire();
    } catch (InterruptedException interrupted) {
      closed.set(true);
      Thread.currentThread().interrupt();
    }
  }

  private void pause() {
    try {
      pokes.tryAcquire(interval.toNanos(), TimeUnit.NANOSECONDS);
    } catch (InterruptedException interrupted) {
      closed.set(true);
      Thread.currentThread().interrupt();
    }
  }
}

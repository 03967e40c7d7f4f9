package org.mimosacleat.proxy.home;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.mimosacleat.core.id.EndpointId;

/**
 * Polls one endpoint between {@link #resume} and {@link #suspend}: at a fixed interval, and
 * immediately after {@link #pollNow}. Initially suspended. Run it on a dedicated thread; {@link
 * #close} ends it.
 */
final class EndpointMonitor implements Runnable, AutoCloseable {
  private final EndpointId endpoint;
  private final EndpointPoller poller;
  private final Duration interval;
  private final EndpointMonitorListener listener;
  private final Semaphore pollRequests = new Semaphore(0);
  private final AtomicBoolean closed = new AtomicBoolean();
  private final AtomicBoolean suspended = new AtomicBoolean(true);

  EndpointMonitor(
      EndpointId endpoint,
      EndpointPoller poller,
      Duration interval,
      EndpointMonitorListener listener) {
    this.endpoint = endpoint;
    this.poller = poller;
    this.interval = interval;
    this.listener = listener;
  }

  /** Requests a poll that starts after this call. */
  void pollNow() {
    pollRequests.release();
  }

  /** Starts polling. */
  void resume() {
    suspended.set(false);
    pollNow();
  }

  /** Stops polling and closes the connection. */
  void suspend() {
    suspended.set(true);
    pollNow();
  }

  @Override
  public void run() {
    while (!closed.get()) {
      if (suspended.get()) {
        poller.close();
        awaitPollRequest();
      } else {
        pollOnce();
        awaitNextPoll();
      }
    }
    poller.close();
  }

  @Override
  public void close() {
    closed.set(true);
    pollNow();
  }

  private void pollOnce() {
    // This poll satisfies every request made before its query is sent.
    pollRequests.drainPermits();
    try {
      EndpointStatus status = poller.poll();
      listener.pollAnswered(status);
    } catch (IOException | RuntimeException failed) {
      listener.pollFailed(endpoint, String.valueOf(failed.getMessage()));
    }
  }

  private void awaitPollRequest() {
    try {
      pollRequests.acquire();
    } catch (InterruptedException interrupted) {
      closed.set(true);
      Thread.currentThread().interrupt();
    }
  }

  private void awaitNextPoll() {
    try {
      pollRequests.tryAcquire(interval.toNanos(), TimeUnit.NANOSECONDS);
    } catch (InterruptedException interrupted) {
      closed.set(true);
      Thread.currentThread().interrupt();
    }
  }
}

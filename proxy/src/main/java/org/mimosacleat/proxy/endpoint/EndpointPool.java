package org.mimosacleat.proxy.endpoint;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.lease.FencingToken;

/**
 * The connections of one proxy to one endpoint, at most {@code limit} at any moment. A connection
 * is taken with {@link #acquire} and handed back with {@link #release}; one that is not quiet is
 * closed instead of kept.
 */
public final class EndpointPool implements AutoCloseable {
  private final EndpointAddress address;
  private final int maximumReplyBytes;
  private final Duration connectTimeout;
  private final Semaphore permits;
  private final ConcurrentLinkedDeque<EndpointConnection> idle = new ConcurrentLinkedDeque<>();
  private final AtomicReference<FencingToken> token = new AtomicReference<>(FencingToken.NONE);
  private final AtomicBoolean closed = new AtomicBoolean();

  /** Makes an empty pool. */
  public EndpointPool(
      EndpointAddress address, int limit, int maximumReplyBytes, Duration connectTimeout) {
    this.address = address;
    this.maximumReplyBytes = maximumReplyBytes;
    this.connectTimeout = connectTimeout;
    this.permits = new Semaphore((int) Checks.positive("connection limit", limit), true);
  }

  /** Returns the endpoint that the connections lead to. */
  public EndpointAddress address() {
    return address;
  }

  /**
   * Takes an idle connection or opens one.
   *
   * @return empty if the limit was reached for all of {@code timeout}
   * @throws IOException if the endpoint could not be reached; nothing was sent to it
   */
  public Optional<EndpointConnection> acquire(Duration timeout) throws IOException {
    if (!hasPermit(timeout)) {
      return Optional.empty();
    }
    try {
      return Optional.of(takeOrOpen(timeout));
    } catch (IOException | RuntimeException failed) {
      permits.release();
      throw failed;
    }
  }

  /** Hands back a connection whose transaction has ended. */
  public void release(EndpointConnection connection) {
    if (connection.isQuiet() && isCurrent(connection) && !closed.get()) {
      idle.push(connection);
    } else {
      connection.close();
    }
    permits.release();
  }

  /** Hands back a connection that must not be used again. */
  public void discard(EndpointConnection connection) {
    connection.close();
    permits.release();
  }

  /** Opens connections under this token from now on; those of other tokens are not used again. */
  public void useToken(FencingToken current) {
    if (!token.getAndSet(current).equals(current)) {
      closeIdle();
    }
  }

  /** Closes the idle connections, for example because the endpoint was replaced as primary. */
  public void closeIdle() {
    EndpointConnection connection = idle.poll();
    while (connection != null) {
      connection.close();
      connection = idle.poll();
    }
  }

  /** Returns how many connections are in use. */
  public int inUse(int limit) {
    return limit - permits.availablePermits();
  }

  /** Returns how many connections are open and idle. */
  public int idleCount() {
    return idle.size();
  }

  @Override
  public void close() {
    closed.set(true);
    closeIdle();
  }

  private boolean hasPermit(Duration timeout) {
    if (permits.tryAcquire()) {
      return true;
    }
    try {
      return permits.tryAcquire(timeout.toNanos(), TimeUnit.NANOSECONDS);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  private EndpointConnection takeOrOpen(Duration timeout) throws IOException {
    EndpointConnection kept = idle.poll();
    while (kept != null) {
      if (kept.isQuiet() && isCurrent(kept)) {
        return kept;
      }
      kept.close();
      kept = idle.poll();
    }
    Duration limit = timeout.compareTo(connectTimeout) < 0 ? timeout : connectTimeout;
    return EndpointConnection.open(address, token.get(), maximumReplyBytes, limit);
  }

  private boolean isCurrent(EndpointConnection connection) {
    return connection.token().equals(token.get());
  }
}

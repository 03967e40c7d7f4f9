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
 * The connections of one proxy to one endpoint, at most {@code limit} at any time. A connection is
 * borrowed with {@link #acquire} and returned with {@link #release}, which closes it if it is not
 * reusable.
 */
public final class EndpointPool implements AutoCloseable {
  private final EndpointAddress address;
  private final int maximumReplyBytes;
  private final Duration connectTimeout;
  private final Semaphore permits;
  private final ConcurrentLinkedDeque<EndpointConnection> idle = new ConcurrentLinkedDeque<>();
  private final AtomicReference<FencingToken> token = new AtomicReference<>(FencingToken.NONE);
  private final AtomicBoolean closed = new AtomicBoolean();

  /** Creates an empty pool; {@code limit} is the maximum number of connections. */
  public EndpointPool(
      EndpointAddress address, int limit, int maximumReplyBytes, Duration connectTimeout) {
    this.address = address;
    this.maximumReplyBytes = maximumReplyBytes;
    this.connectTimeout = connectTimeout;
    this.permits = new Semaphore((int) Checks.positive("connection limit", limit), true);
  }

  /** Returns the address of the endpoint. */
  public EndpointAddress address() {
    return address;
  }

  /**
   * Borrows an idle connection or opens one.
   *
   * @return the connection; empty if the limit stayed reached for {@code timeout}
   * @throws IOException if the endpoint could not be reached; nothing was sent to it
   */
  public Optional<EndpointConnection> acquire(Duration timeout) throws IOException {
    if (!tryAcquirePermit(timeout)) {
      return Optional.empty();
    }
    try {
      return Optional.of(borrowOrOpen(timeout));
    } catch (IOException | RuntimeException failed) {
      permits.release();
      throw failed;
    }
  }

  /** Returns a connection whose transaction has ended to the pool. */
  public void release(EndpointConnection connection) {
    if (connection.isReusable() && hasCurrentToken(connection) && !closed.get()) {
      idle.push(connection);
    } else {
      connection.close();
    }
    permits.release();
  }

  /** Closes a borrowed connection that must not be reused. */
  public void discard(EndpointConnection connection) {
    connection.close();
    permits.release();
  }

  /** Sets the token for new connections; connections with another token are not reused. */
  public void useToken(FencingToken current) {
    if (!token.getAndSet(current).equals(current)) {
      closeIdle();
    }
  }

  /** Closes the idle connections, for example after the endpoint was replaced as primary. */
  public void closeIdle() {
    EndpointConnection connection = idle.poll();
    while (connection != null) {
      connection.close();
      connection = idle.poll();
    }
  }

  /** Returns the number of connections in use, given the limit of the pool. */
  public int inUseCount(int limit) {
    return limit - permits.availablePermits();
  }

  /** Returns the number of idle connections. */
  public int idleCount() {
    return idle.size();
  }

  @Override
  public void close() {
    closed.set(true);
    closeIdle();
  }

  private boolean tryAcquirePermit(Duration timeout) {
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

  private EndpointConnection borrowOrOpen(Duration timeout) throws IOException {
    EndpointConnection candidate = idle.poll();
    while (candidate != null) {
      if (candidate.isReusable() && hasCurrentToken(candidate)) {
        return candidate;
      }
      candidate.close();
      candidate = idle.poll();
    }
    Duration limit = timeout.compareTo(connectTimeout) < 0 ? timeout : connectTimeout;
    return EndpointConnection.open(address, token.get(), maximumReplyBytes, limit);
  }

  private boolean hasCurrentToken(EndpointConnection connection) {
    return connection.token().equals(token.get());
  }
}

package org.mimosacleat.serving.endpoint;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.serving.fleet.EndpointEntry;

/**
 * The connections of this proxy to one endpoint. A session borrows one for a statement or a
 * transaction; waiting sessions are served in order of urgency.
 */
public final class EndpointPool {
  private static final Duration REFUSED_CONNECTION_DELAY = Duration.ofMillis(250);

  private final EndpointDialer dialer;
  private final InstantSource clock;
  private final AtomicReference<EndpointEntry> entry;
  private final ConnectionPermits permits;
  private final ConcurrentLinkedDeque<PooledConnection> idle = new ConcurrentLinkedDeque<>();
  private final Set<PooledConnection> inUse = ConcurrentHashMap.newKeySet();
  private final AtomicInteger maxConnections;

  /**
   * Until when no further connection is opened because the endpoint refused one; {@link
   * Instant#MAX} if it refused none.
   */
  private final AtomicReference<Instant> cappedUntil = new AtomicReference<>(Instant.MAX);

  private final AtomicInteger borrowed = new AtomicInteger();
  private final AtomicBoolean closed = new AtomicBoolean();
  private final EndpointHealth health;

  /**
   * Creates an empty pool.
   *
   * @param maxConnections the maximum number of connections
   */
  public EndpointPool(
      EndpointEntry entry, EndpointDialer dialer, InstantSource clock, int maxConnections) {
    this.entry = new AtomicReference<>(entry);
    this.dialer = dialer;
    this.clock = clock;
    this.maxConnections = new AtomicInteger(maxConnections);
    this.permits = new ConnectionPermits(clock, maxConnections);
    this.health = new EndpointHealth(clock);
  }

  /** Returns the latest entry that the endpoint reported. */
  public EndpointEntry entry() {
    return entry.get();
  }

  /** Replaces the entry by a newer one that the endpoint reported. */
  public void update(EndpointEntry current) {
    entry.set(current);
  }

  /** Changes the maximum number of connections. */
  public void resize(int maxConnections) {
    this.maxConnections.set(maxConnections);
    permits.resize(maxConnections);
  }

  /** Returns the health of the endpoint as seen in its answers. */
  public EndpointHealth health() {
    return health;
  }

  /** Estimates how long one more statement takes, including its wait for a connection. */
  public Duration expectedTime() {
    return health.answerTime().multipliedBy(borrowed.get() + 1L + waitingCount());
  }

  /**
   * Borrows a connection, and opens one if none is idle.
   *
   * @param values the session's values, by which the best idle connection is chosen
   * @param urgency decides the order among waiting sessions
   * @param until the end of the wait for a connection
   */
  public Either<Failure, BorrowedConnection> borrow(
      Map<String, String> values, Urgency urgency, Instant until) {
    liftCap();
    if (!acquirePermit(urgency, until)) {
      return failure(
          ErrorKind.OVERLOADED,
          "no connection to endpoint " + entry().id() + " became free in time");
    }
    borrowed.incrementAndGet();
    PooledConnection pooled = takeIdle(values);
    if (pooled != null) {
      return Either.right(newBorrowedConnection(pooled));
    }
    Either<Failure, EndpointConnection> dialed = dialer.dial(entry());
    if (dialed.isLeft()) {
      recordDialFailure(dialed.getLeft());
      returnPermit();
      return Either.left(dialed.getLeft());
    }
    health.recordAnswer();
    return Either.right(newBorrowedConnection(new PooledConnection(dialed.get())));
  }

  int waitingCount() {
    return permits.waitingCount();
  }

  /** Closes the idle connections now and the borrowed ones when they are returned. */
  public void close() {
    closed.set(true);
    closeIdle();
  }

  private void closeIdle() {
    PooledConnection pooled = idle.poll();
    while (pooled != null) {
      pooled.connection().close();
      pooled = idle.poll();
    }
  }

  /** Closes all connections, including those in use, so that no further answer is received. */
  public void closeAll() {
    closeIdle();
    inUse.forEach(pooled -> pooled.connection().close());
  }

  void release(PooledConnection pooled) {
    inUse.remove(pooled);
    if (pooled.connection().isOpen() && !closed.get() && !permits.isShrinking()) {
      idle.push(pooled);
    } else {
      pooled.connection().close();
    }
    returnPermit();
    if (closed.get()) {
      closeIdle();
    }
  }

  void discard(PooledConnection pooled) {
    inUse.remove(pooled);
    pooled.connection().close();
    returnPermit();
  }

  void recordAnswer(Duration time) {
    health.recordAnswer(time);
  }

  private BorrowedConnection newBorrowedConnection(PooledConnection pooled) {
    inUse.add(pooled);
    return new BorrowedConnection(this, pooled, clock);
  }

  /**
   * Records a failed dial. An endpoint that refuses further connections still serves the open ones,
   * so it isn't marked as failed; the pool is limited to its open connections for a while.
   */
  private void recordDialFailure(Failure failure) {
    int open = idle.size() + inUse.size();
    if (failure.kind() != ErrorKind.TOO_MANY_CONNECTIONS || open == 0) {
      health.recordFailure();
      return;
    }
    cappedUntil.set(clock.instant().plus(REFUSED_CONNECTION_DELAY));
    permits.resize(Math.min(open, maxConnections.get()));
  }

  /** Lets the pool grow again once the delay after a refused connection is over. */
  private void liftCap() {
    Instant until = cappedUntil.get();
    boolean over = !until.equals(Instant.MAX) && !clock.instant().isBefore(until);
    if (over && cappedUntil.compareAndSet(until, Instant.MAX)) {
      permits.resize(maxConnections.get());
    }
  }

  private boolean acquirePermit(Urgency urgency, Instant until) {
    Duration wait = Duration.between(clock.instant(), until);
    try {
      return !closed.get() && permits.tryAcquire(urgency, wait);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  private void returnPermit() {
    borrowed.decrementAndGet();
    permits.release();
  }

  /** Takes the idle connection that needs the fewest commands to match the session's values. */
  private PooledConnection takeIdle(Map<String, String> values) {
    removeClosed();
    PooledConnection usable = null;
    for (PooledConnection candidate : idle) {
      if (candidate.hasValues(values) && idle.remove(candidate)) {
        return candidate;
      }
      if (usable == null && candidate.canAdopt(values)) {
        usable = candidate;
      }
    }
    if (usable != null && idle.remove(usable)) {
      return usable;
    }
    return idle.poll();
  }

  private void removeClosed() {
    for (Iterator<PooledConnection> iterator = idle.iterator(); iterator.hasNext(); ) {
      if (!iterator.next().connection().isOpen()) {
        iterator.remove();
      }
    }
  }

  private static <T> Either<Failure, T> failure(ErrorKind kind, String detail) {
    return Either.left(new Failure(kind, detail));
  }
}

package org.mimosacleat.serving.endpoint;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.ReentrantLock;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.serving.fleet.EndpointEntry;

/**
 * The connections of this proxy to one endpoint. A session borrows one for a statement or a
 * transaction; waiting sessions are served in order of urgency. Each connection is bound to one
 * team and runs only its statements.
 */
public final class EndpointPool {
  private static final Duration MIN_REFUSED_CONNECTION_DELAY = Duration.ofMillis(250);
  private static final int MAX_DELAY_DOUBLINGS = 3;

  private final EndpointDialer dialer;
  private final InstantSource clock;
  private final AtomicReference<EndpointEntry> entry;
  private final ConnectionPermits permits;
  private final OpenConnections connections;
  private final AtomicReference<PoolSize> size;

  /** Guards changes of the number of permits together with the maximum of the connections. */
  private final ReentrantLock limitLock = new ReentrantLock();

  private final AtomicInteger refusedConnections = new AtomicInteger();

  /**
   * Until when no further connection is opened because the endpoint refused one; {@link
   * Instant#MAX} if it refused none.
   */
  private final AtomicReference<Instant> cappedUntil = new AtomicReference<>(Instant.MAX);

  /**
   * Until when no connection is opened because the endpoint refused one although one of another
   * team had been closed for it. Each further eviction would lose one more connection.
   */
  private final AtomicReference<Instant> noneOpenedUntil = new AtomicReference<>(Instant.MIN);

  private final LongAdder opened = new LongAdder();
  private final LongAdder evicted = new LongAdder();
  private final LongAdder refused = new LongAdder();
  private final AtomicInteger borrowed = new AtomicInteger();
  private final AtomicBoolean closed = new AtomicBoolean();
  private final EndpointHealth health;

  /**
   * Creates an empty pool.
   *
   * @param size how many connections it may have
   */
  public EndpointPool(
      EndpointEntry entry, EndpointDialer dialer, InstantSource clock, PoolSize size) {
    this.entry = new AtomicReference<>(entry);
    this.dialer = dialer;
    this.clock = clock;
    this.size = new AtomicReference<>(size);
    this.permits = new ConnectionPermits(clock, size.maxConnections());
    this.connections = new OpenConnections(size.maxConnections());
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

  /** Changes how many connections the pool may have. */
  public void resize(PoolSize next) {
    limitLock.lock();
    try {
      size.set(next);
      limitTo(next.maxConnections());
    } finally {
      limitLock.unlock();
    }
    if (!next.keepsIdle()) {
      connections.closeIdle();
    }
  }

  /** Returns the health of the endpoint as seen in its answers. */
  public EndpointHealth health() {
    return health;
  }

  /** Estimates how long one more statement takes, including its wait for a connection. */
  public Duration expectedTime() {
    return health.answerTime().multipliedBy(borrowed.get() + 1L + waitingCount());
  }

  /** Returns how many statements hold a connection of this pool or wait for one. */
  public int inFlight() {
    return borrowed.get() + waitingCount();
  }

  /** Returns whether any connection is open. */
  public boolean hasOpenConnection() {
    return connections.established() > 0;
  }

  /**
   * Borrows a connection: an idle one of the team, otherwise a new one. If there is no room for it,
   * the least recently used idle connection of another team is closed first; if all are in use, the
   * caller waits.
   *
   * @param team the team whose statements the connection runs; empty for callers without a team
   * @param values the session's values, by which the best idle connection is chosen
   * @param urgency decides the order among waiting sessions
   * @param until the end of the wait for a connection
   */
  public Either<Failure, BorrowedConnection> borrow(
      Optional<TeamId> team, Map<String, String> values, Urgency urgency, Instant until) {
    liftCap();
    if (refusesConnections()) {
      return refuse();
    }
    while (acquirePermit(urgency, until)) {
      borrowed.incrementAndGet();
      boolean mayOpen = !clock.instant().isBefore(noneOpenedUntil.get());
      switch (connections.take(team, values, mayOpen)) {
        case ConnectionSlot.Idle(PooledConnection pooled) -> {
          return Either.right(new BorrowedConnection(this, pooled, clock));
        }
        case ConnectionSlot.Open(Optional<PooledConnection> toClose) -> {
          return open(team, toClose);
        }
        case ConnectionSlot.None _ -> returnPermit();
      }
      if (!mayOpen) {
        return refuse();
      }
      // The maximum was lowered after the permit was acquired; the next one takes it into account.
      if (!clock.instant().isBefore(until)) {
        break;
      }
    }
    return failure(
        ErrorKind.OVERLOADED, "no connection to endpoint " + entry().id() + " became free in time");
  }

  /** Borrows an idle connection, of any team, that was opened before a moment; does not wait. */
  public Optional<BorrowedConnection> borrowOpenedBefore(Instant moment) {
    if (!acquirePermit(Urgency.NONE, clock.instant())) {
      return Optional.empty();
    }
    borrowed.incrementAndGet();
    Optional<PooledConnection> taken = connections.takeOpenedBefore(moment);
    if (taken.isEmpty()) {
      returnPermit();
    }
    return taken.map(pooled -> new BorrowedConnection(this, pooled, clock));
  }

  private <T> Either<Failure, T> refuse() {
    return failure(
        ErrorKind.TOO_MANY_CONNECTIONS, "endpoint " + entry().id() + " admits no connection now");
  }

  private Either<Failure, BorrowedConnection> open(
      Optional<TeamId> team, Optional<PooledConnection> toClose) {
    Either<Failure, EndpointConnection> dialed = dial(team, toClose);
    boolean replaces = toClose.isPresent();
    if (!replaces && isRefusal(dialed)) {
      Optional<PooledConnection> other = connections.evictOther(team);
      if (other.isPresent()) {
        dialed = dial(team, other);
        replaces = true;
      }
    }
    if (dialed.isRight()) {
      return Either.right(newBorrowedConnection(dialed.get(), team, replaces));
    }
    if (replaces && isRefusal(dialed)) {
      noneOpenedUntil.set(cappedUntilOrPast());
    }
    connections.openingFailed();
    returnPermit();
    return Either.left(dialed.getLeft());
  }

  /**
   * Closes the connection of another team, if there is one, then opens one, and records why not.
   */
  private Either<Failure, EndpointConnection> dial(
      Optional<TeamId> team, Optional<PooledConnection> toClose) {
    toClose.ifPresent(this::evict);
    Either<Failure, EndpointConnection> dialed = dialer.dial(entry(), team);
    if (isRefusal(dialed)) {
      recordRefusal();
    } else if (dialed.isLeft()) {
      health.recordFailure();
    }
    return dialed;
  }

  private void evict(PooledConnection pooled) {
    pooled.connection().close();
    evicted.increment();
  }

  private static boolean isRefusal(Either<Failure, EndpointConnection> dialed) {
    return dialed.isLeft() && dialed.getLeft().kind() == ErrorKind.TOO_MANY_CONNECTIONS;
  }

  private BorrowedConnection newBorrowedConnection(
      EndpointConnection connection, Optional<TeamId> team, boolean replaces) {
    if (!replaces) {
      refusedConnections.set(0);
    }
    health.recordAnswer();
    opened.increment();
    PooledConnection pooled = new PooledConnection(connection, team, clock.instant());
    connections.opened(pooled);
    return new BorrowedConnection(this, pooled, clock);
  }

  /**
   * Opens a connection without a team if none is open, so that the first statement does not wait
   * for it.
   */
  void openAhead() {
    if (connections.established() == 0) {
      borrow(Optional.empty(), Map.of(), Urgency.NONE, clock.instant())
          .peek(BorrowedConnection::release);
    }
  }

  /** Returns whether a statement of this team would find an idle connection. */
  public boolean hasIdle(Optional<TeamId> team) {
    return connections.hasIdle(team);
  }

  /** Returns how many connections have been opened. */
  public long openedConnections() {
    return opened.sum();
  }

  /** Returns how many idle connections have been closed to make room for another team's. */
  public long evictedConnections() {
    return evicted.sum();
  }

  /** Returns how many connections the endpoint has refused because of its limit. */
  public long refusedConnections() {
    return refused.sum();
  }

  int waitingCount() {
    return permits.waitingCount();
  }

  /** Closes the idle connections now and the borrowed ones when they are returned. */
  public void close() {
    closed.set(true);
    connections.closeIdle();
  }

  /** Closes all connections, including those in use, so that no further answer is received. */
  public void closeAll() {
    connections.closeAll();
  }

  void release(PooledConnection pooled) {
    boolean keeps = size.get().keepsIdle() && !closed.get() && !permits.isShrinking();
    if (keeps && pooled.connection().isOpen()) {
      connections.makeIdle(pooled);
    } else {
      connections.close(pooled);
    }
    returnPermit();
    if (closed.get()) {
      connections.closeIdle();
    }
  }

  void discard(PooledConnection pooled) {
    connections.close(pooled);
    returnPermit();
  }

  void recordAnswer(Duration time) {
    health.recordAnswer(time);
  }

  /**
   * Records a refused connection. An endpoint that refuses further connections still serves the
   * open ones, so the pool is limited to its open connections for a while. A pool without one is
   * suspect meanwhile: a proxy that dials again at once only takes time from the endpoint.
   */
  private void recordRefusal() {
    refused.increment();
    int doublings = Math.min(refusedConnections.getAndIncrement(), MAX_DELAY_DOUBLINGS);
    cappedUntil.set(
        clock.instant().plus(MIN_REFUSED_CONNECTION_DELAY.multipliedBy(1L << doublings)));
    limitLock.lock();
    try {
      permits.resize(Math.min(connections.capAtHeld(), size.get().maxConnections()));
    } finally {
      limitLock.unlock();
    }
  }

  private void limitTo(int maxConnections) {
    connections.resize(maxConnections);
    permits.resize(maxConnections);
  }

  /** Returns whether a connection was refused a moment ago and none is open. */
  public boolean refusesConnections() {
    return clock.instant().isBefore(cappedUntilOrPast()) && connections.established() == 0;
  }

  private Instant cappedUntilOrPast() {
    Instant until = cappedUntil.get();
    return until.equals(Instant.MAX) ? Instant.MIN : until;
  }

  /** Lets the pool grow again once the delay after a refused connection is over. */
  private void liftCap() {
    Instant until = cappedUntil.get();
    boolean over = !until.equals(Instant.MAX) && !clock.instant().isBefore(until);
    if (over && cappedUntil.compareAndSet(until, Instant.MAX)) {
      limitLock.lock();
      try {
        limitTo(size.get().maxConnections());
      } finally {
        limitLock.unlock();
      }
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

  private static <T> Either<Failure, T> failure(ErrorKind kind, String detail) {
    return Either.left(new Failure(kind, detail));
  }
}

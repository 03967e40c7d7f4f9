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
 * The connections of this proxy to one endpoint. A session leases one for a statement or a
 * transaction; those that wait are served in the order of their urgency.
 */
public final class EndpointPool {
  private static final Duration PAUSE_BETWEEN_REFUSED_CONNECTIONS = Duration.ofMillis(250);

  private final EndpointDialer dialer;
  private final InstantSource clock;
  private final AtomicReference<EndpointEntry> entry;
  private final LinkPermits permits;
  private final ConcurrentLinkedDeque<PooledLink> idle = new ConcurrentLinkedDeque<>();
  private final Set<PooledLink> inUse = ConcurrentHashMap.newKeySet();
  private final AtomicInteger maximumLinks;

  /** Until when no connection is opened because one was refused; the end of time if none was. */
  private final AtomicReference<Instant> cappedUntil = new AtomicReference<>(Instant.MAX);

  private final AtomicInteger leased = new AtomicInteger();
  private final AtomicBoolean closed = new AtomicBoolean();
  private final EndpointHealth health;

  /**
   * Makes a pool without connections.
   *
   * @param maximumLinks the most connections it may hold
   */
  public EndpointPool(
      EndpointEntry entry, EndpointDialer dialer, InstantSource clock, int maximumLinks) {
    this.entry = new AtomicReference<>(entry);
    this.dialer = dialer;
    this.clock = clock;
    this.maximumLinks = new AtomicInteger(maximumLinks);
    this.permits = new LinkPermits(clock, maximumLinks);
    this.health = new EndpointHealth(clock);
  }

  /** Returns what the endpoint last said of itself. */
  public EndpointEntry entry() {
    return entry.get();
  }

  /** Takes over what the endpoint now says of itself. */
  public void update(EndpointEntry current) {
    entry.set(current);
  }

  /** Changes the most connections that the pool may hold. */
  public void resize(int maximumLinks) {
    this.maximumLinks.set(maximumLinks);
    permits.resize(maximumLinks);
  }

  /** Returns what is known of the endpoint from its answers. */
  public EndpointHealth health() {
    return health;
  }

  /** Estimates how long one more statement takes here. */
  public Duration expectedTime() {
    return health.answerTime().multipliedBy(leased.get() + 1L + waiting());
  }

  /**
   * Leases a connection, and opens one if none is idle.
   *
   * @param values the session's values, by which the best idle connection is chosen
   * @param urgency which of those that wait goes first
   * @param until until when to wait for one
   */
  public Either<Failure, LeasedLink> lease(
      Map<String, String> values, Urgency urgency, Instant until) {
    liftCap();
    if (!acquirePermit(urgency, until)) {
      return failure(
          ErrorKind.OVERLOADED, "no connection to endpoint " + entry().id() + " became free");
    }
    leased.incrementAndGet();
    PooledLink pooled = takeIdle(values);
    if (pooled != null) {
      return Either.right(use(pooled));
    }
    Either<Failure, EndpointLink> dialed = dialer.dial(entry());
    if (dialed.isLeft()) {
      dialFailed(dialed.getLeft());
      returnPermit();
      return Either.left(dialed.getLeft());
    }
    health.answered();
    return Either.right(use(new PooledLink(dialed.get())));
  }

  int waiting() {
    return permits.waiting();
  }

  /** Closes the idle connections now and the leased ones as they come back. */
  public void close() {
    closed.set(true);
    closeIdle();
  }

  private void closeIdle() {
    PooledLink pooled = idle.poll();
    while (pooled != null) {
      pooled.link().close();
      pooled = idle.poll();
    }
  }

  /** Closes all connections, also those in use, so that no answer comes from them any more. */
  public void abandon() {
    closeIdle();
    inUse.forEach(pooled -> pooled.link().close());
  }

  void release(PooledLink pooled) {
    inUse.remove(pooled);
    if (pooled.link().isOpen() && !closed.get() && !permits.isShrinking()) {
      idle.push(pooled);
    } else {
      pooled.link().close();
    }
    returnPermit();
    if (closed.get()) {
      closeIdle();
    }
  }

  void discard(PooledLink pooled) {
    inUse.remove(pooled);
    pooled.link().close();
    returnPermit();
  }

  void answered(Duration time) {
    health.answered(time);
  }

  private LeasedLink use(PooledLink pooled) {
    inUse.add(pooled);
    return new LeasedLink(this, pooled, clock);
  }

  /** An endpoint that takes no more connections still serves those that are open. */
  private void dialFailed(Failure failure) {
    int open = idle.size() + inUse.size();
    if (failure.kind() != ErrorKind.TOO_MANY_CONNECTIONS || open == 0) {
      health.failed();
      return;
    }
    cappedUntil.set(clock.instant().plus(PAUSE_BETWEEN_REFUSED_CONNECTIONS));
    permits.resize(Math.min(open, maximumLinks.get()));
  }

  /** Lets the pool grow again, some time after the endpoint refused a connection. */
  private void liftCap() {
    Instant until = cappedUntil.get();
    boolean over = !until.equals(Instant.MAX) && !clock.instant().isBefore(until);
    if (over && cappedUntil.compareAndSet(until, Instant.MAX)) {
      permits.resize(maximumLinks.get());
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
    leased.decrementAndGet();
    permits.release();
  }

  /** Takes the idle connection that needs the least to become the session's own. */
  private PooledLink takeIdle(Map<String, String> values) {
    dropClosed();
    PooledLink usable = null;
    for (PooledLink candidate : idle) {
      if (candidate.carries(values) && idle.remove(candidate)) {
        return candidate;
      }
      if (usable == null && candidate.canCarry(values)) {
        usable = candidate;
      }
    }
    if (usable != null && idle.remove(usable)) {
      return usable;
    }
    return idle.poll();
  }

  private void dropClosed() {
    for (Iterator<PooledLink> links = idle.iterator(); links.hasNext(); ) {
      if (!links.next().link().isOpen()) {
        links.remove();
      }
    }
  }

  private static <T> Either<Failure, T> failure(ErrorKind kind, String detail) {
    return Either.left(new Failure(kind, detail));
  }
}

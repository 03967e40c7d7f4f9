package org.mimosacleat.core.admission;

import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;

/** Tracks the usage of one customer at one home and enforces the limits. */
final class CustomerLimits {
  private final RateLimiter rate;
  private final AtomicLong concurrent = new AtomicLong();
  private final AtomicLong connections = new AtomicLong();
  private final LongAdder attempts = new LongAdder();
  private final LongAdder refusedConcurrent = new LongAdder();
  private final LongAdder refusedConnections = new LongAdder();
  private volatile long concurrentShare;
  private volatile long connectionShare;

  CustomerLimits(InstantSource clock) {
    this.rate = new RateLimiter(clock);
  }

  void setShare(Resource resource, long units) {
    switch (resource) {
      case CONCURRENT_STATEMENTS -> concurrentShare = units;
      case STATEMENTS_PER_SECOND -> rate.setRate(units);
      default -> connectionShare = units;
    }
  }

  boolean isReady() {
    return concurrentShare > 0
        && connectionShare > 0
        && rate.timeToNextToken().filter(Duration::isZero).isPresent();
  }

  /** Admits one statement; returns the exhausted resource if it is refused, otherwise null. */
  Resource tryAdmitStatement() {
    attempts.increment();
    if (!tryIncrement(concurrent, concurrentShare)) {
      refusedConcurrent.increment();
      return Resource.CONCURRENT_STATEMENTS;
    }
    if (!rate.tryAcquire()) {
      concurrent.decrementAndGet();
      return Resource.STATEMENTS_PER_SECOND;
    }
    return null;
  }

  boolean tryAdmitConnection() {
    boolean admitted = tryIncrement(connections, connectionShare);
    if (!admitted) {
      refusedConnections.increment();
    }
    return admitted;
  }

  void release(Resource resource) {
    AtomicLong counter = resource == Resource.CONNECTIONS ? connections : concurrent;
    counter.decrementAndGet();
  }

  /** Returns the units in use plus the refusals or, for the rate, the attempts since last asked. */
  long getAndResetDemand(Resource resource) {
    return switch (resource) {
      case CONCURRENT_STATEMENTS -> concurrent.get() + refusedConcurrent.sumThenReset();
      case STATEMENTS_PER_SECOND -> attempts.sumThenReset();
      case CONNECTIONS -> connections.get() + refusedConnections.sumThenReset();
    };
  }

  private static boolean tryIncrement(AtomicLong counter, long limit) {
    long current = counter.get();
    while (current < limit) {
      if (counter.compareAndSet(current, current + 1)) {
        return true;
      }
      current = counter.get();
    }
    return false;
  }
}

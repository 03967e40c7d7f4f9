package org.mimosacleat.core.admission;

import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;

/** The use and the limits of one customer at one home. */
final class CustomerGate {
  private final RateLimiter rate;
  private final AtomicLong concurrent = new AtomicLong();
  private final AtomicLong connections = new AtomicLong();
  private final LongAdder attempts = new LongAdder();
  private final LongAdder refusedConcurrent = new LongAdder();
  private final LongAdder refusedConnections = new LongAdder();
  private volatile long concurrentShare;
  private volatile long connectionShare;

  CustomerGate(InstantSource clock) {
    this.rate = new RateLimiter(clock);
  }

  void setShare(Resource resource, long units) {
    switch (resource) {
      case CONCURRENT_STATEMENTS -> concurrentShare = units;
      case STATEMENTS_PER_SECOND -> rate.setRate(units);
      default -> connectionShare = units;
    }
  }

  /** Takes one statement in; returns the resource that is used up, or null. */
  Resource enter() {
    attempts.increment();
    if (!takeOne(concurrent, concurrentShare)) {
      refusedConcurrent.increment();
      return Resource.CONCURRENT_STATEMENTS;
    }
    if (!rate.tryAcquire()) {
      concurrent.decrementAndGet();
      return Resource.STATEMENTS_PER_SECOND;
    }
    return null;
  }

  boolean enterConnection() {
    boolean taken = takeOne(connections, connectionShare);
    if (!taken) {
      refusedConnections.increment();
    }
    return taken;
  }

  void leave(Resource resource) {
    AtomicLong counter = resource == Resource.CONNECTIONS ? connections : concurrent;
    counter.decrementAndGet();
  }

  /** Returns the units in use or asked for since the last call. */
  long takeDemand(Resource resource) {
    return switch (resource) {
      case CONCURRENT_STATEMENTS -> concurrent.get() + refusedConcurrent.sumThenReset();
      case STATEMENTS_PER_SECOND -> attempts.sumThenReset();
      case CONNECTIONS -> connections.get() + refusedConnections.sumThenReset();
    };
  }

  private static boolean takeOne(AtomicLong counter, long limit) {
    long used = counter.get();
    while (used < limit) {
      if (counter.compareAndSet(used, used + 1)) {
        return true;
      }
      used = counter.get();
    }
    return false;
  }
}

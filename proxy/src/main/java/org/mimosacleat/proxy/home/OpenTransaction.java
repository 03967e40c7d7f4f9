package org.mimosacleat.proxy.home;

import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.mimosacleat.core.admission.Permit;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.proxy.endpoint.EndpointConnection;
import org.mimosacleat.proxy.endpoint.EndpointPool;

/** An open transaction, which keeps its endpoint connection until it ends. */
final class OpenTransaction {
  private final long number;
  private final TransactionOwner owner;
  private final EndpointPool pool;
  private final EndpointConnection connection;
  private final Permit permit;
  private final Optional<Term> primaryTerm;
  private final AtomicBoolean claimed = new AtomicBoolean(true);
  private final AtomicReference<Instant> lastUsedAt;

  OpenTransaction(
      long number,
      TransactionOwner owner,
      EndpointPool pool,
      EndpointConnection connection,
      Permit permit,
      Optional<Term> primaryTerm,
      Instant openedAt) {
    this.number = number;
    this.owner = owner;
    this.pool = pool;
    this.connection = connection;
    this.permit = permit;
    this.primaryTerm = primaryTerm;
    this.lastUsedAt = new AtomicReference<>(openedAt);
  }

  long number() {
    return number;
  }

  EndpointPool pool() {
    return pool;
  }

  Permit permit() {
    return permit;
  }

  EndpointConnection connection() {
    return connection;
  }

  boolean onPrimary() {
    return primaryTerm.isPresent();
  }

  /** Returns the term of the primary that it runs on, or empty if it runs on a replica. */
  Optional<Term> primaryTerm() {
    return primaryTerm;
  }

  boolean isOwnedBy(TransactionOwner other) {
    return owner == other;
  }

  /** Claims the connection for one batch; returns false if a batch is running on it. */
  boolean tryClaim() {
    return claimed.compareAndSet(false, true);
  }

  /** Releases the claim on the connection; the transaction stays open. */
  void releaseClaim(Instant now) {
    lastUsedAt.set(now);
    claimed.set(false);
  }

  /** Returns whether no batch is running and the last one ended before {@code limit}. */
  boolean isIdleSince(Instant limit) {
    return !claimed.get() && lastUsedAt.get().isBefore(limit);
  }
}

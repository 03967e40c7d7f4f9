package org.mimosacleat.proxy.home;

import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.mimosacleat.core.admission.Permit;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.proxy.endpoint.EndpointConnection;
import org.mimosacleat.proxy.endpoint.EndpointPool;

/** A transaction that holds its endpoint connection until it ends. */
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

  /** Returns the term in which it runs on a primary, or empty if it runs on a replica. */
  Optional<Term> primaryTerm() {
    return primaryTerm;
  }

  boolean isOwnedBy(TransactionOwner other) {
    return owner == other;
  }

  /** Claims the connection for one batch; false if a batch is running on it. */
  boolean tryClaim() {
    return claimed.compareAndSet(false, true);
  }

  /** Ends the claim; the transaction stays open. */
  void releaseClaim(Instant now) {
    lastUsedAt.set(now);
    claimed.set(false);
  }

  /** Tells whether nothing has run on it since {@code limit}. */
  boolean isIdleSince(Instant limit) {
    return !claimed.get() && lastUsedAt.get().isBefore(limit);
  }
}

package org.mimosacleat.proxy.home;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;
import org.mimosacleat.core.admission.Permit;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.proxy.endpoint.EndpointConnection;
import org.mimosacleat.proxy.endpoint.EndpointPool;

/**
 * The open transactions of a home. Removal from the map is atomic: if several threads try to end a
 * transaction, only the one that removed it returns or discards the connection.
 */
final class OpenTransactions {
  private final ConcurrentHashMap<Long, OpenTransaction> byNumber = new ConcurrentHashMap<>();
  private final AtomicLong lastNumber = new AtomicLong();
  private final InstantSource clock;

  OpenTransactions(InstantSource clock) {
    this.clock = clock;
  }

  /** Registers a transaction whose first batch has been answered. */
  OpenTransaction open(
      TransactionOwner owner,
      EndpointPool pool,
      EndpointConnection connection,
      Permit permit,
      Optional<Term> primaryTerm) {
    OpenTransaction transaction =
        new OpenTransaction(
            lastNumber.incrementAndGet(),
            owner,
            pool,
            connection,
            permit,
            primaryTerm,
            clock.instant());
    byNumber.put(transaction.number(), transaction);
    transaction.releaseClaim(clock.instant());
    return transaction;
  }

  /**
   * Claims a transaction of this owner for one batch; empty if it is no longer open or a batch is
   * running in it.
   */
  Optional<OpenTransaction> claim(long number, TransactionOwner owner) {
    return Optional.ofNullable(byNumber.get(number))
        .filter(transaction -> transaction.isOwnedBy(owner))
        .filter(OpenTransaction::tryClaim);
  }

  /** Releases the claim on a transaction; returns false if it was ended in the meantime. */
  boolean releaseClaim(OpenTransaction transaction) {
    transaction.releaseClaim(clock.instant());
    return byNumber.containsKey(transaction.number());
  }

  /** Removes a transaction that has ended, and returns its connection to the pool. */
  void finish(OpenTransaction transaction) {
    if (byNumber.remove(transaction.number(), transaction)) {
      transaction.pool().release(transaction.connection());
      transaction.permit().close();
    }
  }

  /** Ends a transaction by closing its connection, which rolls it back. */
  void discard(OpenTransaction transaction) {
    if (byNumber.remove(transaction.number(), transaction)) {
      transaction.pool().discard(transaction.connection());
      transaction.permit().close();
    }
  }

  /** Rolls back one transaction whose client has disconnected. */
  void rollBack(long number, TransactionOwner owner) {
    discardMatching(transaction -> transaction.number() == number && transaction.isOwnedBy(owner));
  }

  /** Rolls back all transactions of an owner whose connection was lost. */
  void rollBackAllOf(TransactionOwner owner) {
    discardMatching(transaction -> transaction.isOwnedBy(owner));
  }

  /** Rolls back the transactions that have been idle for longer than {@code limit}. */
  void discardIdle(Duration limit) {
    discardMatching(transaction -> transaction.isIdleSince(clock.instant().minus(limit)));
  }

  /** Rolls back all transactions. */
  void discardAll() {
    discardMatching(transaction -> true);
  }

  int count() {
    return byNumber.size();
  }

  private void discardMatching(Predicate<OpenTransaction> condition) {
    byNumber.values().stream().filter(condition).toList().forEach(this::discard);
  }
}

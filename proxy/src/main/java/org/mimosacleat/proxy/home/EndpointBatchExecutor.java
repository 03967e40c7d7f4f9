package org.mimosacleat.proxy.home;

import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Map;
import java.util.Optional;
import org.mimosacleat.core.admission.Permit;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.core.statement.StatementKind;
import org.mimosacleat.proxy.endpoint.EndpointConnection;
import org.mimosacleat.proxy.endpoint.EndpointPool;
import org.mimosacleat.wire.peer.BatchAnswer;
import org.mimosacleat.wire.peer.BatchRequest;
import org.mimosacleat.wire.postgres.TransactionStatus;

/**
 * Runs batches on the endpoint chosen by routing: borrows and returns connections, pins them to
 * open transactions, and withholds the answers of writes until they are confirmed.
 */
final class EndpointBatchExecutor {
  private static final String READ_ONLY_SQL_STATE = "25006";

  private final InstantSource clock;
  private final Map<EndpointId, EndpointPool> pools;
  private final EndpointMonitors monitors;
  private final OpenTransactions transactions;
  private final SlottedBatchRunner runner;
  private final Admission admission;
  private final WriteConfirmation confirmation;

  EndpointBatchExecutor(
      InstantSource clock,
      GroupResources resources,
      SlottedBatchRunner runner,
      Admission admission,
      WriteConfirmation confirmation) {
    this.clock = clock;
    this.pools = Map.copyOf(resources.pools());
    this.monitors = resources.monitors();
    this.transactions = resources.transactions();
    this.runner = runner;
    this.admission = admission;
    this.confirmation = confirmation;
  }

  /** Runs a read on a replica; the right side is empty if the replica refused it as a write. */
  Either<Failure, Optional<BatchAnswer>> runOnReplica(BatchAttempt attempt, EndpointId endpoint) {
    return runOnPooledConnection(attempt, endpoint, Optional.empty());
  }

  /**
   * Runs a batch outside of open transactions; it may open one.
   *
   * @param primaryTerm the term in which the endpoint is the primary
   */
  Either<Failure, BatchAnswer> run(
      BatchAttempt attempt, EndpointId endpoint, Optional<Term> primaryTerm) {
    return runOnPooledConnection(attempt, endpoint, primaryTerm).map(Optional::orElseThrow);
  }

  /** Runs a batch within an open transaction, on the connection pinned to it. */
  Either<Failure, BatchAnswer> continueTransaction(BatchAttempt attempt) {
    BatchRequest request = attempt.request();
    Optional<OpenTransaction> claimed =
        transactions.claim(request.transaction(), attempt.batch().owner());
    if (claimed.isEmpty()) {
      return failure(
          ErrorKind.TRANSACTION_LOST,
          "transaction " + request.transaction() + " is no longer open");
    }
    OpenTransaction transaction = claimed.get();
    Either<Failure, BatchResult> result =
        runner
            .run(
                attempt,
                transaction.connection().endpoint(),
                transaction.onPrimary(),
                () -> Either.right(transaction.connection()))
            .result();
    if (result.isLeft()) {
      transactions.discard(transaction);
      return Either.left(result.getLeft());
    }
    if (result.get().reply().status() == TransactionStatus.IDLE) {
      transactions.finish(transaction);
      return confirmAndAnswer(attempt, result.get(), transaction.primaryTerm());
    }
    if (!transactions.releaseClaim(transaction)) {
      return failure(
          ErrorKind.TRANSACTION_LOST, "the transaction was rolled back while its batch ran");
    }
    return Either.right(batchAnswer(result.get(), transaction.number(), Position.NONE));
  }

  private Either<Failure, Optional<BatchAnswer>> runOnPooledConnection(
      BatchAttempt attempt, EndpointId endpoint, Optional<Term> primaryTerm) {
    Either<Failure, Permit> permit = admission.admitConnection(attempt.request().customer());
    if (permit.isLeft()) {
      return Either.left(permit.getLeft());
    }
    EndpointPool pool = pools.get(endpoint);
    SlottedBatchResult run =
        runner.run(
            attempt,
            endpoint,
            primaryTerm.isPresent(),
            () -> borrowConnection(pool, attempt.deadline()));
    if (run.result().isLeft()) {
      run.connection().ifPresent(pool::discard);
      permit.get().close();
      monitors.pollNow(endpoint);
      return Either.left(run.result().getLeft());
    }
    return handleReply(
        attempt,
        new PooledBatchResult(
            pool, run.connection().orElseThrow(), permit.get(), run.result().get()),
        primaryTerm);
  }

  private Either<Failure, Optional<BatchAnswer>> handleReply(
      BatchAttempt attempt, PooledBatchResult run, Optional<Term> primaryTerm) {
    if (run.result().reply().status() != TransactionStatus.IDLE) {
      OpenTransaction opened =
          transactions.open(
              attempt.batch().owner(), run.pool(), run.connection(), run.permit(), primaryTerm);
      return Either.right(Optional.of(batchAnswer(run.result(), opened.number(), Position.NONE)));
    }
    run.pool().release(run.connection());
    run.permit().close();
    if (primaryTerm.isEmpty() && isRefusedWrite(run.result())) {
      return Either.right(Optional.empty());
    }
    return confirmAndAnswer(attempt, run.result(), primaryTerm).map(Optional::of);
  }

  private static boolean isRefusedWrite(BatchResult result) {
    return result.reply().sqlState().equals(READ_ONLY_SQL_STATE);
  }

  private Either<Failure, EndpointConnection> borrowConnection(
      EndpointPool pool, Instant deadline) {
    EndpointId endpoint = pool.address().endpoint();
    try {
      return pool.acquire(Duration.between(clock.instant(), deadline))
          .<Either<Failure, EndpointConnection>>map(Either::right)
          .orElseGet(
              () ->
                  failure(
                      ErrorKind.OVERLOADED,
                      "no connection to endpoint "
                          + endpoint
                          + " was free before the deadline; the batch was not run"));
    } catch (IOException unreachable) {
      return failure(
          ErrorKind.UNAVAILABLE,
          "endpoint "
              + endpoint
              + " could not be reached, the batch was not run: "
              + unreachable.getMessage());
    }
  }

  /** Answers a batch that left no transaction open, after any write of it has been confirmed. */
  private Either<Failure, BatchAnswer> confirmAndAnswer(
      BatchAttempt attempt, BatchResult result, Optional<Term> primaryTerm) {
    boolean wroteNothing =
        primaryTerm.isEmpty()
            || result.position().isEmpty()
            || failedOutsideTransaction(attempt, result);
    if (wroteNothing) {
      return Either.right(batchAnswer(result, BatchRequest.NO_TRANSACTION, Position.NONE));
    }
    Position commit = new Position(primaryTerm.get(), result.position().get());
    return confirmation
        .confirm(attempt.request().session(), commit, attempt.deadline())
        .map(confirmed -> batchAnswer(result, BatchRequest.NO_TRANSACTION, confirmed));
  }

  /** Returns whether a statement outside of a transaction failed, and therefore wrote nothing. */
  private static boolean failedOutsideTransaction(BatchAttempt attempt, BatchResult result) {
    return result.reply().hasError()
        && !attempt.request().isInTransaction()
        && attempt.request().kind() == StatementKind.WRITE;
  }

  private static BatchAnswer batchAnswer(BatchResult result, long transaction, Position position) {
    return new BatchAnswer(
        result.reply().frames(),
        result.reply().status(),
        transaction,
        position,
        result.reply().hasError());
  }

  private static <T> Either<Failure, T> failure(ErrorKind kind, String detail) {
    return Either.left(new Failure(kind, detail));
  }

  /**
   * The result of a batch that ran on a pooled connection.
   *
   * @param pool the pool that the connection was borrowed from
   * @param connection the connection
   * @param permit the customer's permit to use the connection
   * @param result the result of the batch
   */
  private record PooledBatchResult(
      EndpointPool pool, EndpointConnection connection, Permit permit, BatchResult result) {}
}

package org.mimosacleat.proxy.home;

import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.error.Outcome;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.core.routing.Freshness;
import org.mimosacleat.core.routing.GroupKnowledge;
import org.mimosacleat.core.routing.RouteDecision;
import org.mimosacleat.core.routing.RouteRequest;
import org.mimosacleat.core.routing.Router;
import org.mimosacleat.core.statement.StatementKind;
import org.mimosacleat.proxy.endpoint.EndpointConnection;
import org.mimosacleat.proxy.endpoint.EndpointPool;
import org.mimosacleat.wire.peer.WorkAnswer;
import org.mimosacleat.wire.peer.WorkRequest;
import org.mimosacleat.wire.postgres.TransactionStatus;

/**
 * Runs the batches of one group: each is routed, run on a pooled or pinned connection, and answered
 * when the session's view is safe. Call {@link #execute} from a thread that may wait.
 */
final class GroupHome {
  private static final String READ_ONLY_STATE = "25006";

  private final InstantSource clock;
  private final Router router;
  private final GroupState state;
  private final Map<EndpointId, EndpointPool> pools;
  private final EndpointWatchers watchers;
  private final OpenTransactions transactions;
  private final BatchRunner runner;
  private final Duration confirmationTimeout;

  GroupHome(
      InstantSource clock,
      Router router,
      GroupState state,
      Map<EndpointId, EndpointPool> pools,
      EndpointWatchers watchers,
      OpenTransactions transactions,
      Duration confirmationTimeout) {
    this.clock = clock;
    this.router = router;
    this.state = state;
    this.pools = Map.copyOf(pools);
    this.watchers = watchers;
    this.transactions = transactions;
    this.runner = new BatchRunner(clock);
    this.confirmationTimeout = confirmationTimeout;
  }

  /** Runs one batch and waits for its answer. */
  Either<Failure, WorkAnswer> execute(WorkRequest request, WorkTicket ticket) {
    Instant arrivedAt = clock.instant();
    Instant deadline = arrivedAt.plus(request.timeLeft());
    if (request.isInTransaction()) {
      return continueTransaction(request, ticket, deadline);
    }
    return start(new Attempt(request, ticket, request.kind(), arrivedAt, deadline));
  }

  /** Rolls back a transaction whose caller has left. */
  void abandon(long transaction, TransactionOwner owner) {
    transactions.abandon(transaction, owner);
  }

  /** Rolls back all transactions of an owner that was lost. */
  void abandonAll(TransactionOwner owner) {
    transactions.abandonAll(owner);
  }

  private Either<Failure, WorkAnswer> start(Attempt attempt) {
    while (true) {
      if (attempt.ticket().isCancelled()) {
        return Either.left(
            new Failure(ErrorKind.DEADLINE_BEFORE_START, "cancelled before it was sent"));
      }
      CompletableFuture<Void> change = state.nextChange();
      GroupKnowledge knowledge = state.knowledge();
      switch (router.route(routeRequest(attempt), knowledge)) {
        case RouteDecision.ToPrimary(EndpointId endpoint) -> {
          return runOn(attempt, endpoint, Optional.of(knowledge.snapshot().term()));
        }
        case RouteDecision.ToReplica(EndpointId endpoint) -> {
          Either<Failure, WorkAnswer> answer = runOn(attempt, endpoint, Optional.empty());
          if (answer.isRight() || !mayRunElsewhere(answer.getLeft(), attempt)) {
            return answer;
          }
          state.failed(endpoint);
        }
        case RouteDecision.AwaitReplica(EndpointId endpoint, Position needed, Instant until) -> {
          watchers.poke(endpoint);
          awaitChange(change, until);
        }
        case RouteDecision.AwaitPrimary(Instant until) -> awaitChange(change, until);
        case RouteDecision.Refuse(Failure failure) -> {
          return Either.left(failure);
        }
      }
    }
  }

  /** Only reads come here: whatever is known of them, they may run again. */
  private boolean mayRunElsewhere(Failure failure, Attempt attempt) {
    return failure.kind().outcome() != Outcome.RAN
        && failure.kind() != ErrorKind.OVERLOADED
        && clock.instant().isBefore(attempt.deadline());
  }

  private void awaitChange(CompletableFuture<Void> change, Instant until) {
    ChangeSignal.await(change, Duration.between(clock.instant(), until));
  }

  private RouteRequest routeRequest(Attempt attempt) {
    Optional<Position> required = state.positions().required(attempt.request().session());
    Freshness freshness =
        attempt
            .request()
            .maximumAge()
            .<Freshness>map(age -> new Freshness.MaximumAge(age, required))
            .orElseGet(() -> new Freshness.OwnWrites(required));
    return new RouteRequest(attempt.kind(), freshness, attempt.arrivedAt(), attempt.deadline());
  }

  private Either<Failure, WorkAnswer> runOn(
      Attempt attempt, EndpointId endpoint, Optional<Term> primaryTerm) {
    EndpointPool pool = pools.get(endpoint);
    Either<Failure, EndpointConnection> connection = connect(pool, attempt.deadline());
    if (connection.isLeft()) {
      watchers.poke(endpoint);
      return Either.left(connection.getLeft());
    }
    Either<Failure, BatchResult> result =
        run(
            connection.get(),
            attempt.request(),
            attempt.ticket(),
            primaryTerm.isPresent(),
            attempt.deadline());
    if (result.isLeft()) {
      pool.discard(connection.get());
      watchers.poke(endpoint);
      return Either.left(result.getLeft());
    }
    if (primaryTerm.isEmpty() && isRefusedWrite(result.get())) {
      pool.release(connection.get());
      return start(attempt.asWrite());
    }
    if (result.get().reply().status() != TransactionStatus.IDLE) {
      OpenTransaction opened =
          transactions.open(
              attempt.ticket().owner(),
              attempt.request().customer(),
              pool,
              connection.get(),
              primaryTerm);
      return Either.right(answer(attempt.request(), result.get(), opened.number()));
    }
    pool.release(connection.get());
    return acknowledge(attempt.request(), result.get(), primaryTerm, attempt.deadline());
  }

  private Either<Failure, BatchResult> run(
      EndpointConnection connection,
      WorkRequest request,
      WorkTicket ticket,
      boolean onPrimary,
      Instant deadline) {
    ticket.runsOn(connection);
    try {
      return runner.run(connection, request, onPrimary, deadline);
    } finally {
      ticket.ended();
    }
  }

  private static boolean isRefusedWrite(BatchResult result) {
    return result.reply().errorState().equals(READ_ONLY_STATE)
        && result.reply().status() == TransactionStatus.IDLE;
  }

  private Either<Failure, EndpointConnection> connect(EndpointPool pool, Instant deadline) {
    try {
      return pool.acquire(Duration.between(clock.instant(), deadline))
          .<Either<Failure, EndpointConnection>>map(Either::right)
          .orElseGet(
              () ->
                  Either.left(
                      new Failure(
                          ErrorKind.OVERLOADED,
                          "no connection to endpoint "
                              + pool.address().endpoint()
                              + " was free before the deadline")));
    } catch (IOException unreachable) {
      return Either.left(
          new Failure(
              ErrorKind.UNAVAILABLE,
              "endpoint "
                  + pool.address().endpoint()
                  + " could not be reached: "
                  + unreachable.getMessage()));
    }
  }

  private Either<Failure, WorkAnswer> continueTransaction(
      WorkRequest request, WorkTicket ticket, Instant deadline) {
    Optional<OpenTransaction> claimed = transactions.claim(request.transaction(), ticket.owner());
    if (claimed.isEmpty()) {
      return Either.left(
          new Failure(
              ErrorKind.TRANSACTION_LOST,
              "transaction " + request.transaction() + " is not open any more"));
    }
    OpenTransaction transaction = claimed.get();
    Either<Failure, BatchResult> result =
        run(transaction.connection(), request, ticket, transaction.onPrimary(), deadline);
    if (result.isLeft()) {
      transactions.discard(transaction);
      return Either.left(result.getLeft());
    }
    if (result.get().reply().status() == TransactionStatus.IDLE) {
      transactions.finish(transaction);
      return acknowledge(request, result.get(), transaction.primaryTerm(), deadline);
    }
    if (!transactions.keep(transaction)) {
      return Either.left(
          new Failure(ErrorKind.TRANSACTION_LOST, "the transaction was ended while it ran"));
    }
    return Either.right(answer(request, result.get(), transaction.number()));
  }

  /** Answers a batch that has left no transaction open; what it wrote is confirmed first. */
  private Either<Failure, WorkAnswer> acknowledge(
      WorkRequest request, BatchResult result, Optional<Term> primaryTerm, Instant deadline) {
    if (primaryTerm.isEmpty() || result.position().isEmpty() || isPlainError(request, result)) {
      return Either.right(answer(request, result, WorkRequest.NO_TRANSACTION));
    }
    Position commit = new Position(primaryTerm.get(), result.position().get());
    return confirm(commit, deadline)
        .map(
            confirmed -> {
              state.positions().acknowledged(request.session(), confirmed);
              return answer(request, result, WorkRequest.NO_TRANSACTION, confirmed);
            });
  }

  /** Tells whether a statement outside of a transaction failed, so that it wrote nothing. */
  private static boolean isPlainError(WorkRequest request, BatchResult result) {
    return result.reply().hasError()
        && !request.isInTransaction()
        && request.kind() == StatementKind.WRITE;
  }

  private Either<Failure, Position> confirm(Position commit, Instant deadline) {
    Instant limit = clock.instant().plus(confirmationTimeout);
    Instant end = limit.isBefore(deadline) ? limit : deadline;
    CompletableFuture<Either<Failure, Position>> confirmation = state.tracker().await(commit, end);
    while (true) {
      final CompletableFuture<Void> change = state.nextChange();
      if (confirmation.isDone()) {
        return join(confirmation);
      }
      if (!clock.instant().isBefore(end)) {
        state.tracker().tick();
        return join(confirmation);
      }
      watchers.pokeAll();
      awaitChange(change, end);
    }
  }

  private static Either<Failure, Position> join(
      CompletableFuture<Either<Failure, Position>> confirmation) {
    try {
      return confirmation.get(1, TimeUnit.SECONDS);
    } catch (InterruptedException | ExecutionException | TimeoutException broken) {
      return Either.left(
          new Failure(ErrorKind.NOT_CONFIRMED, "the write was not confirmed in time"));
    }
  }

  private static WorkAnswer answer(WorkRequest request, BatchResult result, long transaction) {
    return answer(request, result, transaction, Position.NONE);
  }

  private static WorkAnswer answer(
      WorkRequest request, BatchResult result, long transaction, Position position) {
    return new WorkAnswer(
        result.reply().frames(),
        result.reply().status(),
        transaction,
        position,
        result.reply().hasError());
  }

  /**
   * One batch on its way to an endpoint.
   *
   * @param kind as the request says, or a write where a replica refused it
   */
  private record Attempt(
      WorkRequest request,
      WorkTicket ticket,
      StatementKind kind,
      Instant arrivedAt,
      Instant deadline) {
    Attempt asWrite() {
      return new Attempt(request, ticket, StatementKind.WRITE, arrivedAt, deadline);
    }
  }
}

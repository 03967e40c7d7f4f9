package org.mimosacleat.serving.session;

import io.vavr.control.Either;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Function;
import java.util.function.Supplier;
import org.mimosacleat.core.connection.TransactionStatus;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.serving.fleet.ReadConsistency;
import org.mimosacleat.serving.fleet.Route;
import org.mimosacleat.serving.relay.RelayContext;
import org.mimosacleat.serving.relay.RelayReply;
import org.mimosacleat.serving.relay.RelayRequest;
import org.mimosacleat.serving.statement.Answer;

/**
 * Runs the statements that one other proxy relays to this one, on this proxy's own connections.
 * Closing it rolls back the transactions that are still open. Safe for concurrent use.
 */
public final class RelayedStatements implements AutoCloseable {
  private final SessionDependencies dependencies;
  private final Map<Long, RelayedTransaction> transactions = new ConcurrentHashMap<>();
  private volatile boolean closed;

  RelayedStatements(SessionDependencies dependencies) {
    this.dependencies = dependencies;
  }

  /**
   * Registers a request and returns the work that runs it. Requests must be registered in the order
   * of their arrival, so that a rollback ends a transaction whose first statement still waits.
   */
  public Supplier<RelayReply> register(RelayRequest request) {
    return switch (request) {
      case RelayRequest.RunStatement run -> () -> runStatement(run);
      case RelayRequest.RunInTransaction run -> {
        Optional<RelayedTransaction> open = run.first() ? Optional.of(begin(run)) : find(run);
        yield () -> runInTransaction(open, run);
      }
      case RelayRequest.Commit commit -> {
        Optional<RelayedTransaction> open =
            Optional.ofNullable(transactions.get(commit.transaction()));
        yield () -> commit(open, commit);
      }
      case RelayRequest.RollBack(long number) -> () -> rollBack(number);
    };
  }

  /** Returns whether a request belongs to a transaction that is open here. */
  public boolean isOpen(RelayRequest request) {
    return switch (request) {
      case RelayRequest.RunStatement _ -> false;
      case RelayRequest.RunInTransaction run -> transactions.containsKey(run.transaction());
      case RelayRequest.Commit commit -> transactions.containsKey(commit.transaction());
      case RelayRequest.RollBack _ -> true;
    };
  }

  /**
   * Returns whether a request can be run here now: a proxy that must not use the primary, as after
   * the loss of its lease, leaves what needs the primary to another gateway.
   */
  public boolean canRun(RelayRequest request) {
    return switch (request) {
      case RelayRequest.RunStatement run ->
          canRun(run.context().route(), !run.statement().writes());
      case RelayRequest.RunInTransaction run ->
          !run.first() || canRun(run.context().route(), run.readOnly());
      case RelayRequest.Commit _, RelayRequest.RollBack _ -> true;
    };
  }

  private boolean canRun(Route route, boolean reads) {
    boolean needsPrimary = !reads || route.readConsistency() instanceof ReadConsistency.Latest;
    return !needsPrimary || dependencies.chooser().mayUsePrimary(route.group());
  }

  /** Returns the number of open transactions. */
  public int openTransactions() {
    return transactions.size();
  }

  @Override
  public void close() {
    closed = true;
    transactions.keySet().forEach(this::rollBack);
  }

  private RelayReply runStatement(RelayRequest.RunStatement run) {
    RelayContext context = run.context();
    SessionState state = new SessionState(context.key());
    Either<Failure, Void> admitted = admit(state, context);
    if (admitted.isLeft()) {
      Answer refusal = Answer.failed(admitted.getLeft(), TransactionStatus.IDLE);
      return new RelayReply(refusal, context.lastWrite());
    }
    restore(state, context);
    Instant arrivedAt = dependencies.clock().instant().minus(context.elapsed());
    Answer answer =
        new AutocommitStatements(dependencies, state)
            .run(run.statement(), context.route(), arrivedAt);
    return new RelayReply(answer, state.lastWrite(context.route().group()));
  }

  private RelayedTransaction begin(RelayRequest.RunInTransaction run) {
    SessionState state = new SessionState(run.context().key());
    Route route = run.context().route();
    RelayedTransaction begun =
        new RelayedTransaction(
            state, new OpenTransaction(dependencies, state, route, run.readOnly()));
    transactions.put(run.transaction(), begun);
    return begun;
  }

  private Optional<RelayedTransaction> find(RelayRequest.RunInTransaction run) {
    return Optional.ofNullable(transactions.get(run.transaction()));
  }

  private RelayReply runInTransaction(
      Optional<RelayedTransaction> transaction, RelayRequest.RunInTransaction run) {
    return transaction
        .map(known -> run(known, run.context(), open -> open.run(run.statement())))
        .orElseGet(() -> lost(run.context()));
  }

  private Either<Failure, Void> admit(SessionState state, RelayContext context) {
    return new Admission(dependencies, state, context.route().database()).admitRelayed(context);
  }

  private RelayReply commit(Optional<RelayedTransaction> transaction, RelayRequest.Commit commit) {
    try {
      return transaction
          .map(known -> run(known, commit.context(), open -> open.commit(commit.statement())))
          .orElseGet(() -> lost(commit.context()));
    } finally {
      transactions.remove(commit.transaction());
    }
  }

  private RelayReply run(
      RelayedTransaction transaction,
      RelayContext context,
      Function<OpenTransaction, Answer> work) {
    transaction.lock.lock();
    try {
      if (transaction.ended || closed) {
        return lost(context);
      }
      restore(transaction.state, context);
      Answer answer = applyIfAdmitted(transaction, context, work);
      return new RelayReply(answer, transaction.state.lastWrite(context.route().group()));
    } finally {
      transaction.lock.unlock();
    }
  }

  /** Does work of a transaction, whose caller's key may have been taken away meanwhile. */
  private Answer applyIfAdmitted(
      RelayedTransaction transaction,
      RelayContext context,
      Function<OpenTransaction, Answer> work) {
    Either<Failure, Void> admitted = admit(transaction.state, context);
    if (admitted.isLeft()) {
      // Marks the transaction as failed, so that a COMMIT of it is not acknowledged.
      transaction.open.abort();
      return Answer.failed(admitted.getLeft(), TransactionStatus.FAILED);
    }
    return work.apply(transaction.open);
  }

  private RelayReply rollBack(long number) {
    Optional<RelayedTransaction> known = Optional.ofNullable(transactions.remove(number));
    known.ifPresent(
        transaction -> {
          transaction.lock.lock();
          try {
            transaction.ended = true;
            transaction.open.rollback();
          } finally {
            transaction.lock.unlock();
          }
        });
    return new RelayReply(Answer.done(TransactionStatus.IDLE), Position.NONE);
  }

  private static RelayReply lost(RelayContext context) {
    Failure failure =
        new Failure(ErrorKind.TRANSACTION_LOST, "the transaction was rolled back by its proxy");
    return new RelayReply(Answer.failed(failure, TransactionStatus.FAILED), context.lastWrite());
  }

  private static void restore(SessionState state, RelayContext context) {
    GroupId group = context.route().group();
    state.replaceValues(context.values());
    state.recordWrite(group, context.lastWrite());
  }

  /** A transaction of a session on another proxy; its fields are guarded by the lock. */
  private static final class RelayedTransaction {
    private final ReentrantLock lock = new ReentrantLock();
    private final SessionState state;
    private final OpenTransaction open;
    private boolean ended;

    RelayedTransaction(SessionState state, OpenTransaction open) {
      this.state = state;
      this.open = open;
    }
  }
}

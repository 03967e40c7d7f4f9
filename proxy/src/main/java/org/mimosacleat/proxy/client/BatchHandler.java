package org.mimosacleat.proxy.client;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.statement.StatementKind;
import org.mimosacleat.proxy.dispatch.BatchExecution;
import org.mimosacleat.proxy.dispatch.Dispatcher;
import org.mimosacleat.proxy.operations.BatchMetrics;
import org.mimosacleat.wire.peer.BatchAnswer;
import org.mimosacleat.wire.peer.BatchRequest;
import org.mimosacleat.wire.postgres.Frame;
import org.mimosacleat.wire.postgres.FrameException;
import org.mimosacleat.wire.postgres.FrameWriter;
import org.mimosacleat.wire.postgres.TransactionStatus;

/** Handles the batches of one session, one at a time. */
final class BatchHandler {
  private static final String NO_TRACE = "";

  private final ClientSession session;
  private final Dispatcher dispatcher;
  private final Duration requestTimeout;
  private final BatchMetrics metrics;
  private final InstantSource clock;
  private final AtomicReference<BatchExecution> running = new AtomicReference<>();

  BatchHandler(
      ClientSession session,
      Dispatcher dispatcher,
      Duration requestTimeout,
      BatchMetrics metrics,
      InstantSource clock) {
    this.metrics = metrics;
    this.clock = clock;
    this.session = session;
    this.dispatcher = dispatcher;
    this.requestTimeout = requestTimeout;
  }

  /** Returns the frames that answer the batch. */
  byte[] answer(Batch batch) throws FrameException {
    BatchPlan plan = BatchPlanner.plan(batch, session.prepared());
    Optional<List<Frame>> local = answerLocally(plan);
    if (local.isPresent()) {
      return FrameWriter.encode(local.get());
    }
    return dispatch(plan);
  }

  /** Cancels the running batch, if any. */
  void cancel() {
    BatchExecution execution = running.get();
    if (execution != null) {
      execution.cancel();
    }
  }

  /** Rolls back the open transaction, if any. */
  void rollBack() {
    session
        .transactionHome()
        .ifPresent(
            home ->
                dispatcher.rollBack(home, session.group(), session.transaction(), session.owner()));
    session.clearTransaction();
  }

  private Optional<List<Frame>> answerLocally(BatchPlan plan) throws FrameException {
    Optional<HintStatement> hint = parseHint(plan);
    if (hint.isPresent()) {
      return Optional.of(setHint(plan, hint.get()));
    }
    if (session.hasLostTransaction()) {
      return Optional.of(answerInLostTransaction(plan));
    }
    return refusal(plan).map(failure -> refuse(plan, failure));
  }

  /**
   * Answers a batch that isn't run with an error. Like any other error, it aborts the open
   * transaction.
   */
  private List<Frame> refuse(BatchPlan plan, Failure failure) {
    boolean wasOpen = session.transactionHome().isPresent();
    if (wasOpen) {
      rollBack();
    }
    if (wasOpen || opensTransaction(plan)) {
      session.setTransactionLost();
    }
    return LocalAnswer.failure(failure, session.status());
  }

  private static Optional<HintStatement> parseHint(BatchPlan plan) {
    return plan.texts().size() == 1
        ? HintStatement.parse(plan.texts().getFirst())
        : Optional.empty();
  }

  private List<Frame> setHint(BatchPlan plan, HintStatement hint) throws FrameException {
    Either<Failure, SessionHints> changed = session.hints().with(hint.name(), hint.value());
    if (changed.isLeft()) {
      return refuse(plan, changed.getLeft());
    }
    session.setHints(changed.get());
    return LocalAnswer.success(plan.batch(), "SET", session.status());
  }

  private List<Frame> answerInLostTransaction(BatchPlan plan) throws FrameException {
    if (plan.kind() == StatementKind.ROLLBACK || plan.kind() == StatementKind.COMMIT) {
      session.clearTransaction();
      return LocalAnswer.success(plan.batch(), "ROLLBACK", TransactionStatus.IDLE);
    }
    Failure failure =
        new Failure(
            ErrorKind.TRANSACTION_LOST, "the transaction was lost; roll back and start a new one");
    return LocalAnswer.failure(failure, TransactionStatus.FAILED);
  }

  private Optional<Failure> refusal(BatchPlan plan) {
    if (plan.refusal().isPresent()) {
      return plan.refusal();
    }
    if (plan.kind() == StatementKind.SESSION_BOUND) {
      return Optional.of(
          new Failure(
              ErrorKind.NOT_SUPPORTED,
              "the statement needs a dedicated connection beyond the end of a transaction"));
    }
    boolean hasRequestIdInTransaction =
        session.hints().requestId().isPresent()
            && (plan.kind() == StatementKind.BEGIN || session.status() != TransactionStatus.IDLE);
    if (hasRequestIdInTransaction) {
      return Optional.of(
          new Failure(
              ErrorKind.NOT_SUPPORTED,
              "a request id is only supported for a single write outside a transaction block"));
    }
    if (!session.prepared().hasRoomFor(plan)) {
      return Optional.of(
          new Failure(
              ErrorKind.NOT_SUPPORTED,
              "a session may have at most "
                  + PreparedStatements.MAXIMUM_COUNT
                  + " prepared statements"));
    }
    if (plan.kind() == StatementKind.SET && session.settings().isFull()) {
      return Optional.of(
          new Failure(
              ErrorKind.NOT_SUPPORTED,
              "a session may change at most " + SessionSettings.MAXIMUM_COUNT + " settings"));
    }
    return Optional.empty();
  }

  private byte[] dispatch(BatchPlan plan) throws FrameException {
    BatchExecution execution = new BatchExecution(session.owner());
    running.set(execution);
    try {
      Instant start = clock.instant();
      Either<Failure, BatchAnswer> answer =
          run(createRequest(plan), execution)
              .peek(_ -> metrics.recordAnswer(Duration.between(start, clock.instant())))
              .peekLeft(failure -> metrics.recordFailure(failure.kind()));
      return answer.isRight()
          ? applyAnswer(plan, execution.home(), answer.get())
          : FrameWriter.encode(applyFailure(plan, answer.getLeft()));
    } finally {
      running.set(null);
      if (plan.kind() == StatementKind.WRITE) {
        session.setHints(session.hints().withoutRequestId());
      }
    }
  }

  private Either<Failure, BatchAnswer> run(BatchRequest request, BatchExecution execution) {
    return session
        .transactionHome()
        .map(home -> dispatcher.runInTransaction(request, home, execution))
        .orElseGet(() -> dispatcher.run(request, execution));
  }

  private BatchRequest createRequest(BatchPlan plan) {
    return new BatchRequest(
        session.group(),
        session.customer(),
        session.hints().session(),
        session.transaction(),
        plan.kind(),
        session.hints().maxStaleness(),
        session.hints().requestId(),
        session.hints().retryable(),
        session.settings().statements(),
        plan.texts().hashCode(),
        requestTimeout,
        NO_TRACE,
        encodeFrames(plan));
  }

  private static byte[] encodeFrames(BatchPlan plan) {
    if (plan.injected().isEmpty()) {
      return FrameWriter.encode(plan.batch().frames());
    }
    List<Frame> all = new ArrayList<>(plan.injected());
    all.addAll(plan.batch().frames());
    return FrameWriter.encode(all);
  }

  private byte[] applyAnswer(BatchPlan plan, VmId home, BatchAnswer answer) throws FrameException {
    boolean open = answer.transaction() != BatchRequest.NO_TRANSACTION;
    if (open) {
      session.setOpenTransaction(home, answer.transaction(), answer.status());
    } else {
      session.clearTransaction();
    }
    byte[] frames = AnswerFilter.withoutInjected(answer.frames(), plan.injected().size());
    if (answer.hasError()) {
      session.prepared().applyCompleted(plan.batch(), AnswerFilter.countParsed(frames));
    } else {
      session.prepared().apply(plan, open);
      recordSettings(plan);
    }
    return frames;
  }

  private void recordSettings(BatchPlan plan) {
    if (plan.kind() == StatementKind.SET) {
      plan.texts().forEach(session.settings()::recordStatement);
    }
  }

  private List<Frame> applyFailure(BatchPlan plan, Failure failure) {
    boolean wasOpen = session.transactionHome().isPresent();
    boolean endsTransaction =
        plan.kind() == StatementKind.COMMIT || plan.kind() == StatementKind.ROLLBACK;
    if (opensTransaction(plan) || (wasOpen && !endsTransaction)) {
      session.setTransactionLost();
    } else {
      session.clearTransaction();
    }
    return LocalAnswer.failure(failure, session.status());
  }

  /**
   * Returns whether the client assumes an open transaction after the batch. Drivers send BEGIN and
   * the first statement of the transaction without waiting for the answer to BEGIN, so after a
   * failed BEGIN only COMMIT or ROLLBACK is accepted.
   */
  private static boolean opensTransaction(BatchPlan plan) {
    return plan.kind() == StatementKind.BEGIN || plan.kind() == StatementKind.BEGIN_READ_ONLY;
  }
}

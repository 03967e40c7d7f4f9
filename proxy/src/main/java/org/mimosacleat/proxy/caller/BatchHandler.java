package org.mimosacleat.proxy.caller;

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
import org.mimosacleat.proxy.dispatch.CallerTicket;
import org.mimosacleat.proxy.dispatch.Dispatcher;
import org.mimosacleat.proxy.operations.BatchMetrics;
import org.mimosacleat.wire.peer.WorkAnswer;
import org.mimosacleat.wire.peer.WorkRequest;
import org.mimosacleat.wire.postgres.Frame;
import org.mimosacleat.wire.postgres.FrameException;
import org.mimosacleat.wire.postgres.FrameWriter;
import org.mimosacleat.wire.postgres.TransactionStatus;

/** Answers the batches of one session, one after the other. */
final class BatchHandler {
  private static final String NO_TRACE = "";

  private final CallerSession session;
  private final Dispatcher dispatcher;
  private final Duration requestTimeout;
  private final BatchMetrics metrics;
  private final InstantSource clock;
  private final AtomicReference<CallerTicket> running = new AtomicReference<>();

  BatchHandler(
      CallerSession session,
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

  /** Cancels the batch that is running, if one is. */
  void cancel() {
    CallerTicket ticket = running.get();
    if (ticket != null) {
      ticket.cancel();
    }
  }

  /** Rolls back what the client has left open. */
  void abandon() {
    session
        .transactionHome()
        .ifPresent(
            home ->
                dispatcher.abandon(home, session.group(), session.transaction(), session.owner()));
    session.idle();
  }

  private Optional<List<Frame>> answerLocally(BatchPlan plan) throws FrameException {
    Optional<HintStatement> hint = hintOf(plan);
    if (hint.isPresent()) {
      return Optional.of(setHint(plan, hint.get()));
    }
    if (session.hasLostTransaction()) {
      return Optional.of(answerInLostTransaction(plan));
    }
    return refusal(plan).map(failure -> refuse(plan, failure));
  }

  /** Answers what is not run; as with any other error, it ends the transaction that it is in. */
  private List<Frame> refuse(BatchPlan plan, Failure failure) {
    boolean wasOpen = session.transactionHome().isPresent();
    if (wasOpen) {
      abandon();
    }
    if (wasOpen || opensTransaction(plan)) {
      session.transactionLost();
    }
    return LocalAnswer.failed(failure, session.status());
  }

  private static Optional<HintStatement> hintOf(BatchPlan plan) {
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
    return LocalAnswer.done(plan.batch(), "SET", session.status());
  }

  private List<Frame> answerInLostTransaction(BatchPlan plan) throws FrameException {
    if (plan.kind() == StatementKind.ROLLBACK || plan.kind() == StatementKind.COMMIT) {
      session.idle();
      return LocalAnswer.done(plan.batch(), "ROLLBACK", TransactionStatus.IDLE);
    }
    Failure failure =
        new Failure(
            ErrorKind.TRANSACTION_LOST, "the transaction was lost; roll back and start again");
    return LocalAnswer.failed(failure, TransactionStatus.FAILED);
  }

  private Optional<Failure> refusal(BatchPlan plan) {
    if (plan.refusal().isPresent()) {
      return plan.refusal();
    }
    if (plan.kind() == StatementKind.SESSION_BOUND) {
      return Optional.of(
          new Failure(
              ErrorKind.NOT_SUPPORTED,
              "the statement needs a connection of its own beyond a transaction"));
    }
    boolean namesTransaction =
        session.hints().requestId().isPresent()
            && (plan.kind() == StatementKind.BEGIN || session.status() != TransactionStatus.IDLE);
    if (namesTransaction) {
      return Optional.of(
          new Failure(
              ErrorKind.NOT_SUPPORTED,
              "a request id is for one write outside of a transaction block"));
    }
    if (!session.prepared().hasRoomFor(plan)) {
      return Optional.of(
          new Failure(
              ErrorKind.NOT_SUPPORTED,
              "a session may have " + PreparedStatements.MAXIMUM_COUNT + " prepared statements"));
    }
    if (plan.kind() == StatementKind.SET && session.settings().isFull()) {
      return Optional.of(
          new Failure(
              ErrorKind.NOT_SUPPORTED,
              "a session may change " + SessionSettings.MAXIMUM_COUNT + " settings"));
    }
    return Optional.empty();
  }

  private byte[] dispatch(BatchPlan plan) throws FrameException {
    CallerTicket ticket = new CallerTicket(session.owner());
    running.set(ticket);
    try {
      Instant start = clock.instant();
      Either<Failure, WorkAnswer> answer =
          run(request(plan), ticket)
              .peek(_ -> metrics.answered(Duration.between(start, clock.instant())))
              .peekLeft(failure -> metrics.failed(failure.kind()));
      return answer.isRight()
          ? accept(plan, ticket.home(), answer.get())
          : FrameWriter.encode(fail(plan, answer.getLeft()));
    } finally {
      running.set(null);
      if (plan.kind() == StatementKind.WRITE) {
        session.setHints(session.hints().withoutRequestId());
      }
    }
  }

  private Either<Failure, WorkAnswer> run(WorkRequest request, CallerTicket ticket) {
    return session
        .transactionHome()
        .map(home -> dispatcher.runInTransaction(request, home, ticket))
        .orElseGet(() -> dispatcher.run(request, ticket));
  }

  private WorkRequest request(BatchPlan plan) {
    return new WorkRequest(
        session.group(),
        session.customer(),
        session.hints().session(),
        session.transaction(),
        plan.kind(),
        session.hints().maximumAge(),
        session.hints().requestId(),
        session.hints().repeatable(),
        session.settings().statements(),
        plan.texts().hashCode(),
        requestTimeout,
        NO_TRACE,
        frames(plan));
  }

  private static byte[] frames(BatchPlan plan) {
    if (plan.injected().isEmpty()) {
      return FrameWriter.encode(plan.batch().frames());
    }
    List<Frame> all = new ArrayList<>(plan.injected());
    all.addAll(plan.batch().frames());
    return FrameWriter.encode(all);
  }

  private byte[] accept(BatchPlan plan, VmId home, WorkAnswer answer) throws FrameException {
    boolean open = answer.transaction() != WorkRequest.NO_TRANSACTION;
    if (open) {
      session.inTransaction(home, answer.transaction(), answer.status());
    } else {
      session.idle();
    }
    byte[] frames = AnswerFilter.withoutInjected(answer.frames(), plan.injected().size());
    if (answer.hasError()) {
      session.prepared().applyFirst(plan.batch(), AnswerFilter.countParsed(frames));
    } else {
      session.prepared().apply(plan, open);
      recordSettings(plan);
    }
    return frames;
  }

  private void recordSettings(BatchPlan plan) {
    if (plan.kind() == StatementKind.SET) {
      plan.texts().forEach(session.settings()::put);
    }
  }

  private List<Frame> fail(BatchPlan plan, Failure failure) {
    boolean wasOpen = session.transactionHome().isPresent();
    boolean ended = plan.kind() == StatementKind.COMMIT || plan.kind() == StatementKind.ROLLBACK;
    if (opensTransaction(plan) || (wasOpen && !ended)) {
      session.transactionLost();
    } else {
      session.idle();
    }
    return LocalAnswer.failed(failure, session.status());
  }

  /**
   * Tells whether the client takes a transaction for open after the batch. Drivers send the first
   * statement of a transaction behind its BEGIN without waiting, so after a BEGIN that failed only
   * an end of the transaction may run.
   */
  private static boolean opensTransaction(BatchPlan plan) {
    return plan.kind() == StatementKind.BEGIN || plan.kind() == StatementKind.BEGIN_READ_ONLY;
  }
}

package org.mimosacleat.serving.session;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.mimosacleat.core.connection.TransactionStatus;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.serving.fleet.Route;
import org.mimosacleat.serving.relay.Gateway;
import org.mimosacleat.serving.relay.GatewayConnection;
import org.mimosacleat.serving.relay.GatewayOrder;
import org.mimosacleat.serving.relay.RelayReply;
import org.mimosacleat.serving.relay.RelayRequest;
import org.mimosacleat.serving.relay.RelayResult;
import org.mimosacleat.serving.statement.Answer;
import org.mimosacleat.serving.statement.ForwardedStatement;

/**
 * The open transaction of a client. Its first statement decides where it runs until its end: on a
 * gateway of the group, or on this proxy's own connections.
 */
final class RoutedTransaction implements ClientTransaction {
  private final SessionDependencies dependencies;
  private final SessionState session;
  private final Admission admission;
  private final Route route;
  private final boolean readOnly;
  private final long number;
  private GatewayConnection gateway;
  private OpenTransaction own;
  private Optional<TeamId> team = Optional.empty();
  private boolean wrote;
  private boolean failed;

  RoutedTransaction(
      SessionDependencies dependencies,
      SessionState session,
      Admission admission,
      Route route,
      boolean readOnly) {
    this.dependencies = dependencies;
    this.session = session;
    this.admission = admission;
    this.route = route;
    this.readOnly = readOnly;
    this.number = dependencies.transactionNumbers().incrementAndGet();
  }

  @Override
  public TransactionStatus status() {
    if (own != null) {
      return own.status();
    }
    return failed ? TransactionStatus.FAILED : TransactionStatus.IN_TRANSACTION;
  }

  @Override
  public Answer run(ForwardedStatement statement) {
    if (failed) {
      return refuse(ErrorKind.PROTOCOL_VIOLATION, "the transaction has failed; roll it back");
    }
    if (!canFinish()) {
      return stop();
    }
    Either<Failure, Void> admitted = admit();
    if (admitted.isLeft()) {
      return end(admitted.getLeft());
    }
    Answer answer = own != null ? own.run(statement) : runRelayed(statement);
    failed = !answer.isDone();
    wrote = wrote || statement.writes();
    return answer;
  }

  private Answer runRelayed(ForwardedStatement statement) {
    RelayTimes times = newTimes();
    if (gateway == null) {
      return begin(statement, times);
    }
    RelayRequest request =
        new RelayRequest.RunInTransaction(
            number, false, readOnly, times.context(session), statement);
    return switch (gateway.execute(request, times.replyDeadline())) {
      case RelayResult.Replied(RelayReply reply) -> reply.answer();
      case RelayResult.NotRun(String reason) -> lose(reason);
      case RelayResult.Unknown(String reason) -> lose(reason);
    };
  }

  private Answer begin(ForwardedStatement statement, RelayTimes times) {
    do {
      GatewayOrder order = dependencies.relay().gatewaysOf(route.group(), session.team());
      Optional<Answer> answer = beginAtFirst(order.gateways(), statement, times);
      if (answer.isPresent()) {
        return answer.get();
      }
      if (order.runsHere(times.wasRejected()) || dependencies.relay().isIsolated()) {
        own = new OpenTransaction(dependencies, session, route, readOnly);
        return own.run(statement);
      }
    } while (dependencies.retryLoop().pause(times.waitLimit()));
    return refuse(ErrorKind.TRANSACTION_LOST, "no gateway of " + route.group() + " can be reached");
  }

  /** Begins at the first gateway that takes the statement; empty if none has. */
  private Optional<Answer> beginAtFirst(
      List<Gateway> gateways, ForwardedStatement statement, RelayTimes times) {
    for (Gateway candidate : gateways) {
      Optional<GatewayConnection> connection = candidate.connection();
      if (connection.isEmpty()) {
        continue;
      }
      RelayRequest request =
          new RelayRequest.RunInTransaction(
              number, true, readOnly, times.context(session), statement);
      switch (connection.get().execute(request, times.replyDeadline())) {
        case RelayResult.Replied(RelayReply reply) -> {
          gateway = connection.get();
          return Optional.of(reply.answer());
        }
        case RelayResult.NotRun _ -> {
          times.recordRejection();
        }
        case RelayResult.Unknown _ -> connection.get().send(new RelayRequest.RollBack(number));
      }
      if (times.isTooLateForAnother()) {
        String detail = "no gateway of " + route.group() + " replied in time";
        return Optional.of(refuse(ErrorKind.TRANSACTION_LOST, detail));
      }
    }
    return Optional.empty();
  }

  /**
   * Admits the caller to one more statement, whose key may have been taken away meanwhile. The
   * transaction stays with the team that it began with, since its connection is bound to that team.
   */
  private Either<Failure, Void> admit() {
    Either<Failure, Void> admitted = admission.admitTransaction(route);
    if (admitted.isLeft()) {
      return admitted;
    }
    if (hasBegun() && !session.team().equals(team)) {
      String detail = "rolled back: the key belongs to another team than when it began";
      return Either.left(new Failure(ErrorKind.TRANSACTION_LOST, detail));
    }
    team = session.team();
    return admitted;
  }

  private boolean hasBegun() {
    return gateway != null || own != null;
  }

  private boolean canFinish() {
    return dependencies.drain().canFinish(route.statementTimeout());
  }

  /** Rolls back because the proxy stops before a statement of the transaction would have ended. */
  private Answer stop() {
    return end(new Failure(ErrorKind.TRANSACTION_LOST, "rolled back: the proxy is stopping"));
  }

  /** Rolls back and refuses the statement. */
  private Answer end(Failure failure) {
    abort();
    return refuse(failure);
  }

  @Override
  public Answer commit(ForwardedStatement statement) {
    if (failed) {
      // The gateway may not know that it failed, as after a reply that was lost.
      rollback();
      String detail = "the transaction had failed; rolled back instead of committed";
      return refuse(ErrorKind.TRANSACTION_LOST, detail).withStatus(TransactionStatus.IDLE);
    }
    if (!canFinish()) {
      return stop().withStatus(TransactionStatus.IDLE);
    }
    Either<Failure, Void> admitted = admit();
    if (admitted.isLeft()) {
      return end(admitted.getLeft()).withStatus(TransactionStatus.IDLE);
    }
    if (!hasBegun()) {
      own = new OpenTransaction(dependencies, session, route, readOnly);
    }
    if (own != null) {
      return own.commit(statement);
    }
    RelayTimes times = newTimes();
    RelayRequest request = new RelayRequest.Commit(number, times.context(session), statement);
    return switch (gateway.execute(request, times.replyDeadline())) {
      case RelayResult.Replied(RelayReply reply) -> {
        session.recordWrite(route.group(), reply.lastWrite());
        yield reply.answer().withStatus(TransactionStatus.IDLE);
      }
      case RelayResult.NotRun(String reason) -> lose(reason).withStatus(TransactionStatus.IDLE);
      case RelayResult.Unknown(String reason) -> uncertain(reason);
    };
  }

  /** A commit without a reply is uncertain, unless there was nothing to commit. */
  private Answer uncertain(String reason) {
    ErrorKind kind = wrote ? ErrorKind.CONNECTION_LOST : ErrorKind.TRANSACTION_LOST;
    return Answer.failed(new Failure(kind, reason), TransactionStatus.IDLE);
  }

  @Override
  public void abort() {
    failed = true;
    if (own != null) {
      own.abort();
    }
    rollBackRelayed();
  }

  @Override
  public void rollback() {
    if (own != null) {
      own.rollback();
    }
    rollBackRelayed();
  }

  private void rollBackRelayed() {
    if (gateway != null) {
      gateway.send(new RelayRequest.RollBack(number));
    }
  }

  /** Ends the transaction after its gateway was lost: nothing was committed. */
  private Answer lose(String reason) {
    rollBackRelayed();
    return refuse(ErrorKind.TRANSACTION_LOST, reason);
  }

  private Answer refuse(ErrorKind kind, String detail) {
    return refuse(new Failure(kind, detail));
  }

  private Answer refuse(Failure failure) {
    failed = true;
    return Answer.failed(failure, TransactionStatus.FAILED);
  }

  private RelayTimes newTimes() {
    return new RelayTimes(dependencies.clock(), route, dependencies.clock().instant());
  }
}

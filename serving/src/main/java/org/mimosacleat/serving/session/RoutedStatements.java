package org.mimosacleat.serving.session;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.mimosacleat.core.connection.TransactionStatus;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
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
 * Runs statements outside a transaction: on a gateway of the group, or on this proxy's own
 * connections if it is a gateway itself or no gateway has taken the statement.
 */
final class RoutedStatements {
  private final SessionDependencies dependencies;
  private final SessionState session;
  private final AutocommitStatements own;

  RoutedStatements(SessionDependencies dependencies, SessionState session) {
    this.dependencies = dependencies;
    this.session = session;
    this.own = new AutocommitStatements(dependencies, session);
  }

  /** Runs one statement and returns its answer. */
  Answer run(ForwardedStatement statement, Route route) {
    Instant arrivedAt = dependencies.clock().instant();
    RelayTimes times = new RelayTimes(dependencies.clock(), route, arrivedAt);
    do {
      GatewayOrder order = dependencies.relay().gatewaysOf(route.group(), session.team());
      Optional<Answer> answer = runAtFirst(order.gateways(), statement, route, times);
      if (answer.isPresent()) {
        return answer.get();
      }
      if (order.runsHere(times.wasRejected()) || dependencies.relay().isIsolated()) {
        return own.run(statement, route, arrivedAt);
      }
    } while (dependencies.retryLoop().pause(times.waitLimit()));
    return failed(ErrorKind.UNAVAILABLE, "no gateway of " + route.group() + " can be reached");
  }

  /** Runs the statement at the first gateway that takes it; empty if none has. */
  private Optional<Answer> runAtFirst(
      List<Gateway> gateways, ForwardedStatement statement, Route route, RelayTimes times) {
    for (Gateway gateway : gateways) {
      Optional<GatewayConnection> connection = gateway.connection();
      if (connection.isEmpty()) {
        continue;
      }
      RelayRequest request = new RelayRequest.RunStatement(times.context(session), statement);
      switch (connection.get().execute(request, times.replyDeadline())) {
        case RelayResult.Replied(RelayReply reply) -> {
          session.recordWrite(route.group(), reply.lastWrite());
          return Optional.of(reply.answer());
        }
        case RelayResult.NotRun _ -> {
          times.recordRejection();
        }
        case RelayResult.Unknown(String reason) -> {
          if (statement.writes()) {
            return Optional.of(failed(ErrorKind.CONNECTION_LOST, reason));
          }
        }
      }
      if (times.isTooLateForAnother()) {
        String detail = "no gateway of " + route.group() + " replied in time";
        return Optional.of(failed(ErrorKind.UNAVAILABLE, detail));
      }
    }
    return Optional.empty();
  }

  private static Answer failed(ErrorKind kind, String detail) {
    return Answer.failed(new Failure(kind, detail), TransactionStatus.IDLE);
  }
}

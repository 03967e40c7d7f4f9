package org.mimosacleat.lab.workload;

import java.sql.SQLException;
import java.util.Arrays;
import java.util.Optional;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Outcome;
import org.postgresql.util.PSQLException;
import org.postgresql.util.ServerErrorMessage;

/** Determines the outcome of a request from the error that the client received. */
final class ErrorClassifier {
  private ErrorClassifier() {}

  /**
   * Classifies the error of a write or commit. Proxies send the error kind as the detail of the
   * message. A server error without an error kind means that the statement failed. Any other error
   * means that the connection was lost, so that the outcome is unknown.
   */
  static RequestOutcome classify(SQLException error) {
    Optional<ServerErrorMessage> message = serverMessage(error);
    if (message.isEmpty()) {
      return RequestOutcome.UNKNOWN;
    }
    return message
        .map(ServerErrorMessage::getDetail)
        .flatMap(ErrorClassifier::findKind)
        .map(kind -> outcomeOf(kind.outcome()))
        .orElse(RequestOutcome.REFUSED);
  }

  private static RequestOutcome outcomeOf(Outcome outcome) {
    return switch (outcome) {
      case NOT_RUN -> RequestOutcome.REFUSED;
      case RAN -> RequestOutcome.SERVED;
      case UNKNOWN -> RequestOutcome.UNKNOWN;
    };
  }

  private static Optional<ServerErrorMessage> serverMessage(SQLException error) {
    return error instanceof PSQLException driverError
        ? Optional.ofNullable(driverError.getServerErrorMessage())
        : Optional.empty();
  }

  private static Optional<ErrorKind> findKind(String name) {
    return Arrays.stream(ErrorKind.values()).filter(kind -> kind.name().equals(name)).findFirst();
  }
}

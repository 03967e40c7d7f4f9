package org.mimosacleat.serving.statement;

import java.util.List;
import java.util.Optional;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.connection.TransactionStatus;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.position.Position;

/**
 * The complete answer to one statement, from an endpoint or to a client.
 *
 * @param rows the rows, unchanged
 * @param signature the endpoint's proof that it ran the statement; empty for local answers
 * @param failure why the statement failed; empty if it succeeded
 * @param status the transaction status after the statement
 * @param position the end of the endpoint's log; empty if the endpoint did not report it
 */
public record Answer(
    List<String> rows,
    Optional<String> signature,
    Optional<Failure> failure,
    TransactionStatus status,
    Optional<Position> position) {
  /** Copies the rows. */
  public Answer {
    rows = List.copyOf(rows);
    Checks.notNull("signature", signature);
    Checks.notNull("failure", failure);
    Checks.notNull("transaction status", status);
    Checks.notNull("position", position);
  }

  /** Returns a success that the proxy answers without an endpoint. */
  public static Answer done(TransactionStatus status) {
    return new Answer(List.of(), Optional.empty(), Optional.empty(), status, Optional.empty());
  }

  /** Returns a failure that the proxy answers without an endpoint. */
  public static Answer failed(Failure failure, TransactionStatus status) {
    return new Answer(List.of(), Optional.empty(), Optional.of(failure), status, Optional.empty());
  }

  /** Returns this answer with another transaction status, as the client sees it. */
  public Answer withStatus(TransactionStatus seen) {
    return new Answer(rows, signature, failure, seen, position);
  }

  /** Returns whether the statement succeeded. */
  public boolean isDone() {
    return failure.isEmpty();
  }

  /** Returns whether the statement failed with an error of this kind. */
  public boolean hasFailed(ErrorKind kind) {
    return failure.filter(known -> known.kind() == kind).isPresent();
  }
}

package org.mimosacleat.serving.relay;

import org.mimosacleat.core.connection.TransactionStatus;
import org.mimosacleat.serving.statement.ForwardedStatement;

/** A request to a gateway. Transactions are numbered by the sender. */
public sealed interface RelayRequest {
  /** Returns the transaction status of the client's session if the request fails unexpectedly. */
  default TransactionStatus statusAfterFailure() {
    return switch (this) {
      case RunInTransaction _ -> TransactionStatus.FAILED;
      case RunStatement _, Commit _, RollBack _ -> TransactionStatus.IDLE;
    };
  }

  /**
   * Runs a statement outside a transaction.
   *
   * @param context the session and the route
   * @param statement the statement
   */
  record RunStatement(RelayContext context, ForwardedStatement statement) implements RelayRequest {}

  /**
   * Runs a statement in a transaction.
   *
   * @param transaction the number of the transaction
   * @param first whether the transaction begins with this statement
   * @param readOnly whether the client declared that it writes nothing
   * @param context the session and the route
   * @param statement the statement
   */
  record RunInTransaction(
      long transaction,
      boolean first,
      boolean readOnly,
      RelayContext context,
      ForwardedStatement statement)
      implements RelayRequest {}

  /**
   * Commits a transaction.
   *
   * @param transaction the number of the transaction
   * @param context the session and the route
   * @param statement the client's statement
   */
  record Commit(long transaction, RelayContext context, ForwardedStatement statement)
      implements RelayRequest {}

  /**
   * Rolls a transaction back; without effect if it is not open.
   *
   * @param transaction the number of the transaction
   */
  record RollBack(long transaction) implements RelayRequest {}
}

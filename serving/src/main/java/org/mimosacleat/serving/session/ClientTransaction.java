package org.mimosacleat.serving.session;

import org.mimosacleat.core.connection.TransactionStatus;
import org.mimosacleat.serving.statement.Answer;
import org.mimosacleat.serving.statement.ForwardedStatement;

/** The open transaction of a session. */
interface ClientTransaction {
  /** Returns the transaction status that the client last received. */
  TransactionStatus status();

  /** Runs a statement of the transaction. */
  Answer run(ForwardedStatement statement);

  /** Commits; the transaction is over whatever the answer is. */
  Answer commit(ForwardedStatement statement);

  /** Rolls back; the transaction stays open as failed until the client ends it. */
  void abort();

  /** Rolls back; the transaction is over. */
  void rollback();
}

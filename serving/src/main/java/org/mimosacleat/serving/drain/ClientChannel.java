package org.mimosacleat.serving.drain;

import java.util.Optional;
import org.mimosacleat.serving.statement.StatementId;

/** A client connection that a drain can close. */
public interface ClientChannel {
  /** Closes the connection if no request and no transaction is open on it. */
  boolean closeIfIdle();

  /** Returns the statement that has been read and not answered; empty if there is none. */
  Optional<StatementId> openStatement();

  /** Closes the connection immediately, even with an open request or transaction. */
  void close();
}

package org.mimosacleat.serving.endpoint;

import java.util.Optional;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.serving.statement.PreparedShape;
import org.mimosacleat.serving.statement.StatementId;

/** A command that the proxy sends to an endpoint on one connection. */
public sealed interface EndpointCommand {
  /**
   * Opens a transaction.
   *
   * @param readOnly whether it writes nothing; a replica accepts only read-only transactions
   * @param after the position that the endpoint's log must include
   */
  record Begin(boolean readOnly, Optional<Position> after) implements EndpointCommand {}

  /**
   * Runs a client's statement with its text unchanged.
   *
   * @param id the client's id
   * @param after the position that the endpoint's log must include, for reads
   * @param text the client's text
   */
  record Run(StatementId id, Optional<Position> after, String text) implements EndpointCommand {}

  /**
   * Runs a client's prepared statement under the name that all sessions share.
   *
   * @param id the client's id
   * @param after the position that the endpoint's log must include, for reads
   * @param shape the prepared statement to run
   * @param arguments the client's arguments, unchanged
   */
  record RunPrepared(
      StatementId id, Optional<Position> after, PreparedShape shape, String arguments)
      implements EndpointCommand {}

  /** Rolls back the open transaction. */
  record Rollback() implements EndpointCommand {}

  /** Clears the session values and prepared statements of the connection. */
  record Reset() implements EndpointCommand {}

  /**
   * Sets a session value on the connection.
   *
   * @param name the value's name
   * @param value the value
   */
  record SetValue(String name, String value) implements EndpointCommand {}

  /**
   * Prepares a statement under the name that all sessions share.
   *
   * @param shape the statement to prepare
   */
  record Prepare(PreparedShape shape) implements EndpointCommand {}

  /** Asks for the endpoint's role, term and log position. */
  record Status() implements EndpointCommand {}

  /**
   * Turns a primary of a lower term into a replica.
   *
   * @param term the newer term, which fences the old primary
   */
  record Demote(Term term) implements EndpointCommand {}
}

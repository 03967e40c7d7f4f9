package org.mimosacleat.serving.endpoint;

import java.util.Optional;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.serving.statement.PreparedShape;
import org.mimosacleat.serving.statement.StatementId;

/** What the proxy asks of an endpoint on one connection. */
public sealed interface EndpointCommand {
  /**
   * Opens a transaction.
   *
   * @param readOnly whether it writes nothing; only then a replica takes it
   * @param after the position that the endpoint's log must include
   */
  record Begin(boolean readOnly, Optional<Position> after) implements EndpointCommand {}

  /**
   * Runs a client's statement, text unchanged.
   *
   * @param id the client's id
   * @param after the position that the endpoint's log must include, for reads
   * @param text the client's text
   */
  record Run(StatementId id, Optional<Position> after, String text) implements EndpointCommand {}

  /**
   * Runs a client's prepared statement under its shared name.
   *
   * @param id the client's id
   * @param after the position that the endpoint's log must include, for reads
   * @param shape what to run
   * @param arguments the client's arguments, unchanged
   */
  record RunPrepared(
      StatementId id, Optional<Position> after, PreparedShape shape, String arguments)
      implements EndpointCommand {}

  /** Rolls the open transaction back. */
  record Rollback() implements EndpointCommand {}

  /** Clears the values and prepared statements of the connection. */
  record Reset() implements EndpointCommand {}

  /**
   * Sets a value of the connection.
   *
   * @param name the value's name
   * @param value the value
   */
  record SetValue(String name, String value) implements EndpointCommand {}

  /**
   * Prepares a statement under its shared name.
   *
   * @param shape what to prepare
   */
  record Prepare(PreparedShape shape) implements EndpointCommand {}

  /** Asks for role, term and position. */
  record Status() implements EndpointCommand {}

  /**
   * Makes a primary of a lower term a replica.
   *
   * @param term the term that fences it
   */
  record Demote(Term term) implements EndpointCommand {}
}

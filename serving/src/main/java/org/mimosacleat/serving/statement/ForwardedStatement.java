package org.mimosacleat.serving.statement;

import java.util.Optional;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.serving.endpoint.EndpointCommand;

/**
 * A statement to run on an endpoint.
 *
 * @param id the client's id
 * @param text the client's text, which reaches the endpoint unchanged
 * @param writes whether it may write
 * @param shape the prepared statement that it executes, if any
 * @param arguments the arguments of the prepared statement, unchanged; empty without one
 */
public record ForwardedStatement(
    StatementId id, String text, boolean writes, Optional<PreparedShape> shape, String arguments) {
  /** Checks that no component is null. */
  public ForwardedStatement {
    Checks.notNull("statement id", id);
    Checks.notNull("statement text", text);
    Checks.notNull("prepared statement", shape);
    Checks.notNull("arguments", arguments);
  }

  /** Returns a statement that a client sent in full. */
  public static ForwardedStatement plain(ClientStatement statement, boolean writes) {
    return new ForwardedStatement(statement.id(), statement.text(), writes, Optional.empty(), "");
  }

  /** Returns the execution of a prepared statement. */
  public static ForwardedStatement prepared(
      ClientStatement statement, PreparedShape shape, String arguments) {
    return new ForwardedStatement(
        statement.id(), statement.text(), shape.writes(), Optional.of(shape), arguments);
  }

  /** Returns the command that runs the statement, at a log that includes the position. */
  public EndpointCommand command(Optional<Position> after) {
    if (shape.isPresent()) {
      return new EndpointCommand.RunPrepared(id, after, shape.get(), arguments);
    }
    return new EndpointCommand.Run(id, after, text);
  }
}

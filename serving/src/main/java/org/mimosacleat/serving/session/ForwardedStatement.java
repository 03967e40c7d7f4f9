package org.mimosacleat.serving.session;

import java.util.Optional;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.serving.endpoint.EndpointCommand;
import org.mimosacleat.serving.statement.ClientStatement;
import org.mimosacleat.serving.statement.PreparedShape;
import org.mimosacleat.serving.statement.StatementBody;

/**
 * A statement to run on an endpoint.
 *
 * @param statement the client's statement
 * @param writes whether it may write
 * @param shape the prepared statement that it executes, if any
 */
record ForwardedStatement(
    ClientStatement statement, boolean writes, Optional<PreparedShape> shape) {
  /** Returns the command that runs the statement, at a log that includes the position. */
  EndpointCommand command(Optional<Position> after) {
    if (statement.body() instanceof StatementBody.Execute(String name, String arguments)) {
      return new EndpointCommand.RunPrepared(statement.id(), after, shape.orElseThrow(), arguments);
    }
    return new EndpointCommand.Run(statement.id(), after, statement.text());
  }
}

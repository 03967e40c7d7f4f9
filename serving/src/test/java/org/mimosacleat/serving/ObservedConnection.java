package org.mimosacleat.serving;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.mimosacleat.serving.endpoint.EndpointCommand;
import org.mimosacleat.serving.endpoint.EndpointConnection;
import org.mimosacleat.serving.statement.Answer;

/** A connection whose end a test observes. */
public final class ObservedConnection implements EndpointConnection {
  private final EndpointConnection connection;
  private final Runnable onClose;
  private boolean closed;

  /**
   * Observes a connection.
   *
   * @param onClose runs when it is closed for the first time
   */
  public ObservedConnection(EndpointConnection connection, Runnable onClose) {
    this.connection = connection;
    this.onClose = onClose;
  }

  @Override
  public List<CompletableFuture<Answer>> send(List<EndpointCommand> commands) {
    return connection.send(commands);
  }

  @Override
  public boolean isOpen() {
    return connection.isOpen();
  }

  @Override
  public void close() {
    connection.close();
    if (!closed) {
      closed = true;
      onClose.run();
    }
  }
}

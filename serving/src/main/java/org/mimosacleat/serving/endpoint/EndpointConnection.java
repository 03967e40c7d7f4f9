package org.mimosacleat.serving.endpoint;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.mimosacleat.serving.statement.Answer;

/** One open connection to an endpoint. Commands are answered in the order they were sent. */
public interface EndpointConnection extends AutoCloseable {
  /**
   * Sends commands without waiting for an endpoint that does not read. Commands are sent by one
   * caller at a time, after the answers to the ones before.
   *
   * @return one future for each command; it fails with an {@code IOException} if the connection
   *     ends before the answer is complete
   */
  List<CompletableFuture<Answer>> send(List<EndpointCommand> commands);

  /** Returns whether the connection can still be used. */
  boolean isOpen();

  /** Closes the connection; the endpoint rolls back an open transaction. */
  @Override
  void close();
}

package org.mimosacleat.serving.endpoint;

import io.vavr.control.Either;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.serving.fleet.EndpointEntry;

/** Opens connections to endpoints. */
public interface EndpointDialer {
  /**
   * Opens a connection and checks that the endpoint is the expected one.
   *
   * @return the connection, or why it could not be opened; in that case no command has run
   */
  Either<Failure, EndpointConnection> dial(EndpointEntry endpoint);
}

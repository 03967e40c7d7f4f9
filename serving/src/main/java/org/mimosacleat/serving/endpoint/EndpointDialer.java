package org.mimosacleat.serving.endpoint;

import io.vavr.control.Either;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.serving.fleet.EndpointEntry;

/** Opens connections to endpoints. */
public interface EndpointDialer {
  /**
   * Opens a connection and makes sure that the endpoint is the expected one.
   *
   * @return the connection, or why it could not be opened; nothing has run then
   */
  Either<Failure, EndpointLink> dial(EndpointEntry endpoint);
}
